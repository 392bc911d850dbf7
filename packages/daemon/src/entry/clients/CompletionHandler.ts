import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Customer, Model, Release } from '@azurecart/protocol';
import type { Limits } from '../../settings/index.js';
import { ApiError } from './ApiError.js';
import { createBadRequest, createModelNotFound, createUnavailable } from './apiErrors.js';
import type { Authenticator } from './Authenticator.js';
import type { BodyBudget } from './BodyBudget.js';
import { BufferedResponseWriter } from './BufferedResponseWriter.js';
import { CompletionFormat } from './CompletionFormat.js';
import { Generation } from './Generation.js';
import type { GenerationContext } from './Generation.js';
import type { PromptSummary } from './inspectPrompt.js';
import type { PromptInspector } from './PromptInspector.js';
import { getDeclaredLength, readBody } from './readBody.js';
import { getRequestQos } from './requestQos.js';
import type { RequestQos } from './requestQos.js';
import type { ResponseWriter } from './ResponseWriter.js';
import { StreamingResponseWriter } from './StreamingResponseWriter.js';

export interface CompletionHandlerOptions {
  context: GenerationContext;
  authenticator: Authenticator;
  inspector: PromptInspector;
  bodyBudget: BodyBudget;
  limits: Limits;
}

const BODY_BUDGET_RETRY_AFTER_MS = 2000;

/** Handles requests of the completions protocol. */
export class CompletionHandler {
  constructor(private readonly options: CompletionHandlerOptions) {}

  /**
   * Handles a request. The client gets a complete response or an error; a stream may contain part
   * of the completion before the event of the error.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    release: Release,
  ): Promise<void> {
    const arrivedAt = performance.now();
    const { authenticator, limits, context } = this.options;
    const customer = authenticator.getCustomerOrThrow(request.headers, release);
    const qos = getRequestQos(request.headers, customer, release);
    const length = getDeclaredLength(request, limits);
    this.checkExpectedWait(qos, length, release);
    const releaseBudget = this.acquireBodyBudget(length);
    try {
      await this.generate({ request, response, release, customer, qos, length, arrivedAt });
      context.metrics.recordOutcome(qos.priority, 'ok', 'completed');
    } finally {
      releaseBudget();
    }
  }

  /**
   * Rejects a request that would wait too long, before its body is read. The model is not known
   * before that, so the shortest wait over all models counts.
   */
  private checkExpectedWait(qos: RequestQos, length: number, release: Release): void {
    const { priority, deadlineMs } = qos;
    const waitMs = this.options.context.chooser.getShortestWaitMs(priority);
    if (waitMs === undefined) throw createUnavailable('no_engine', 'no engine is known');
    const limitMs = Math.min(release.priorities[priority].firstTokenMs, deadlineMs);
    if (waitMs <= limitMs) return;
    // The message states the length of the request body, on which the wait does not depend, and the
    // shortest expected wait over all models.
    const message = `${length} bytes would wait ${Math.round(waitMs)} ms, the limit is ${limitMs}`;
    throw createUnavailable('deadline', message, waitMs - limitMs);
  }

  private acquireBodyBudget(length: number): () => void {
    const releaseBudget = this.options.bodyBudget.acquire(length);
    if (releaseBudget) return releaseBudget;
    throw createUnavailable(
      'body_budget',
      'too many long bodies at the moment',
      BODY_BUDGET_RETRY_AFTER_MS,
    );
  }

  private async generate(accepted: AcceptedRequest): Promise<void> {
    const { request, response, release, customer, qos, length, arrivedAt } = accepted;
    const rawBody = await readBody(request, length, this.options.limits);
    const { body, summary } = await this.options.inspector.inspect(rawBody);
    checkModel(summary, customer, release);
    const id = `req-${randomUUID()}`;
    const path = (request.url ?? '').split('?')[0] ?? '';
    const writer = createResponseWriter(response, path, id, summary);
    const generation = new Generation(this.options.context, {
      id,
      path,
      body,
      summary,
      qos,
      customer,
      release,
      writer,
      arrivedAt,
      signal: createDisconnectSignal(response),
    });
    this.recordArrival(id, accepted, summary);
    await generation.run().catch((error: unknown) => this.handleFailure(error, writer, id, qos));
  }

  private handleFailure(
    error: unknown,
    writer: ResponseWriter,
    id: string,
    qos: RequestQos,
  ): never {
    if (error instanceof ApiError) {
      writer.fail(error);
      const { code, outcome } = error.options;
      this.options.context.metrics.recordOutcome(qos.priority, code, outcome);
      this.options.context.timeline.record('failed', { request: id, detail: `${code} ${outcome}` });
    }
    throw error;
  }

  private recordArrival(
    id: string,
    { customer, qos }: AcceptedRequest,
    summary: PromptSummary,
  ): void {
    const detail = `${customer.name} ${qos.priority} ${summary.model} ${summary.promptTokens}`;
    this.options.context.timeline.record('arrived', { request: id, detail });
  }
}

/** A request whose headers were accepted. */
interface AcceptedRequest {
  request: IncomingMessage;
  response: ServerResponse;
  release: Release;
  customer: Customer;
  qos: RequestQos;
  length: number;
  arrivedAt: number;
}

function checkModel(summary: PromptSummary, customer: Customer, release: Release): void {
  const model = getModel(summary.model, release);
  const isAllowed = customer.models === undefined || customer.models.includes(model?.name ?? '');
  if (!model || !isAllowed) throw createModelNotFound(summary.model);
  const tokens = summary.promptTokens + summary.maxTokens;
  if (tokens <= model.contextTokens) return;
  // The message states the estimated prompt length plus `maxTokens`, not actual counts.
  const message = `prompt and answer take ${tokens} tokens, the model takes ${model.contextTokens}`;
  throw createBadRequest(message, 'context_length_exceeded');
}

function getModel(name: string, release: Release): Model | undefined {
  return release.models.find((model) => model.name === name);
}

function createResponseWriter(
  response: ServerResponse,
  path: string,
  id: string,
  summary: PromptSummary,
): ResponseWriter {
  const kind = path.endsWith('/chat/completions') ? 'chat' : 'text';
  const format = new CompletionFormat({ kind, id, model: summary.model });
  return summary.isStreamed
    ? new StreamingResponseWriter(response, format)
    : new BufferedResponseWriter(response, format);
}

/** Creates a signal that aborts when the client disconnects before its response is complete. */
function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.on('close', () => {
    if (!response.writableEnded) controller.abort(new Error('the client has gone'));
  });
  return controller.signal;
}
