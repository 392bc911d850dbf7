import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Customer, Model, Release } from '@azurecart/protocol';
import type { Limits } from '../../settings/index.js';
import { AnswerFormat } from './AnswerFormat.js';
import type { AnswerWriter } from './AnswerWriter.js';
import { ApiFault } from './ApiFault.js';
import { createBadRequest, createRefusal, createUnknownModel } from './apiFaults.js';
import type { Authenticator } from './Authenticator.js';
import type { BodyBudget } from './BodyBudget.js';
import { Generation } from './Generation.js';
import type { GenerationContext } from './Generation.js';
import type { PromptSummary } from './inspectPrompt.js';
import type { PromptInspector } from './PromptInspector.js';
import { getDeclaredLength, readBody } from './readBody.js';
import { getTerms } from './requestTerms.js';
import type { RequestTerms } from './requestTerms.js';
import { StreamedAnswerWriter } from './StreamedAnswerWriter.js';
import { WholeAnswerWriter } from './WholeAnswerWriter.js';

/** What the handler needs. */
export interface CompletionHandlerOptions {
  context: GenerationContext;
  authenticator: Authenticator;
  inspector: PromptInspector;
  budget: BodyBudget;
  limits: Limits;
}

const OVERLOADED_RETRY_MS = 2000;

/** Answers prompts of the completions protocol. */
export class CompletionHandler {
  constructor(private readonly options: CompletionHandlerOptions) {}

  /** Handles a request. Whatever happens, the client gets a whole answer or an error. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    release: Release,
  ): Promise<void> {
    const arrivedAt = performance.now();
    const { authenticator, limits, context } = this.options;
    const customer = authenticator.getCustomerOrThrow(request.headers, release);
    const terms = getTerms(request.headers, customer, release);
    const length = getDeclaredLength(request, limits);
    this.refuseEarly(terms, length, release);
    const giveBack = this.takeBudget(length);
    try {
      await this.answer({ request, response, release, customer, terms, length, arrivedAt });
      context.measures.recordOutcome(terms.priority, 'ok', 'completed');
    } finally {
      giveBack();
    }
  }

  /** Refuses by what the headers tell, before the body is read. */
  private refuseEarly(terms: RequestTerms, length: number, release: Release): void {
    const { priority, deadlineMs } = terms;
    const waitMs = this.options.context.chooser.getShortestWaitMs(priority);
    if (waitMs === undefined) throw createRefusal('no_engine', 'no engine is known');
    const limitMs = Math.min(release.priorities[priority].firstTokenMs, deadlineMs);
    if (waitMs <= limitMs) return;
    const message = `${length} bytes would wait ${Math.round(waitMs)} ms, the limit is ${limitMs}`;
    throw createRefusal('deadline', message, waitMs - limitMs);
  }

  private takeBudget(length: number): () => void {
    const giveBack = this.options.budget.take(length);
    if (giveBack) return giveBack;
    throw createRefusal('body_budget', 'too many long bodies at the moment', OVERLOADED_RETRY_MS);
  }

  private async answer(accepted: AcceptedRequest): Promise<void> {
    const { request, response, release, customer, terms, length, arrivedAt } = accepted;
    const read = await readBody(request, length, this.options.limits);
    const { body, summary } = await this.options.inspector.inspect(read);
    checkModel(summary, customer, release);
    const id = `req-${randomUUID()}`;
    const path = (request.url ?? '').split('?')[0] ?? '';
    const writer = createWriter(response, path, id, summary);
    const generation = new Generation(this.options.context, {
      id,
      path,
      body,
      summary,
      terms,
      customer,
      release,
      writer,
      arrivedAt,
      signal: getGoneSignal(response),
    });
    this.record(id, accepted, summary);
    await generation.run().catch((error: unknown) => this.fail(error, writer, id, terms));
  }

  private fail(error: unknown, writer: AnswerWriter, id: string, terms: RequestTerms): never {
    if (error instanceof ApiFault) {
      writer.fail(error);
      const { code, outcome } = error.options;
      this.options.context.measures.recordOutcome(terms.priority, code, outcome);
      this.options.context.timeline.record('failed', { request: id, detail: `${code} ${outcome}` });
    }
    throw error;
  }

  private record(id: string, { customer, terms }: AcceptedRequest, summary: PromptSummary): void {
    const detail = `${customer.name} ${terms.priority} ${summary.model} ${summary.promptTokens}`;
    this.options.context.timeline.record('arrived', { request: id, detail });
  }
}

/** A request that passed the checks of its headers. */
interface AcceptedRequest {
  request: IncomingMessage;
  response: ServerResponse;
  release: Release;
  customer: Customer;
  terms: RequestTerms;
  length: number;
  arrivedAt: number;
}

function checkModel(summary: PromptSummary, customer: Customer, release: Release): void {
  const model = getModel(summary.model, release);
  const isAllowed = customer.models === undefined || customer.models.includes(model?.name ?? '');
  if (!model || !isAllowed) throw createUnknownModel(summary.model);
  const tokens = summary.promptTokens + summary.maxTokens;
  if (tokens <= model.contextTokens) return;
  const message = `prompt and answer take ${tokens} tokens, the model takes ${model.contextTokens}`;
  throw createBadRequest(message, 'context_length_exceeded');
}

function getModel(name: string, release: Release): Model | undefined {
  return release.models.find((model) => model.name === name);
}

function createWriter(
  response: ServerResponse,
  path: string,
  id: string,
  summary: PromptSummary,
): AnswerWriter {
  const kind = path.endsWith('/chat/completions') ? 'chat' : 'text';
  const format = new AnswerFormat({ kind, id, model: summary.model });
  return summary.isStreamed
    ? new StreamedAnswerWriter(response, format)
    : new WholeAnswerWriter(response, format);
}

/** Gets a signal that aborts when the client goes before its answer is whole. */
function getGoneSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.on('close', () => {
    if (!response.writableEnded) controller.abort(new Error('the client has gone'));
  });
  return controller.signal;
}
