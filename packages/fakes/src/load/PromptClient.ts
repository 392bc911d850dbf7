import { createHash } from 'node:crypto';
import { Agent, request as startRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import { BYTES_PER_TOKEN, OUTCOME_HEADER } from '@azurecart/protocol';
import { getPromptDigest, getTokenText } from '../engine/FakeEngine.js';

/** A completion request to send. */
export interface PromptOptions {
  url: string;
  /** API key of the customer. */
  key: string;
  /** Unique name; its hash makes the prompt text unique. */
  name: string;
  promptTokens: number;
  maxTokens: number;
  headers?: Record<string, string>;
  /** Prefix shared with other prompts. */
  prefix?: string;
  timeoutMs?: number;
}

/** Result of a completion request. */
export interface PromptResult {
  /**
   * `whole`: complete and correct answer; `refused`: rejected before it ran; `failed`: error or
   * truncated answer; `wrong`: answer text that does not belong to the prompt.
   */
  kind: 'whole' | 'refused' | 'failed' | 'wrong';
  /** Value of the outcome header or trailer, or empty; `unknown` after a connection error. */
  outcome: string;
  /** Error code; `cut` for an answer that ended early without one, empty when there is no error. */
  code: string;
  /** Time to the first event, also to an error event; 0 if there was none. */
  firstTokenMs: number;
  totalMs: number;
  promptTokens: number;
  outputTokens: number;
  /** Request id from the response headers; empty when there is none. */
  id: string;
}

const MODEL = 'fitting-assist';
const TIMEOUT_MS = 180_000;

/** Sends completion requests and checks that each answer is complete and belongs to its prompt. */
export class PromptClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4096 });

  /** Sends a completion request. Never rejects: errors are reported in the result. */
  async send(options: PromptOptions): Promise<PromptResult> {
    const text = createPromptText(options);
    const sentAt = performance.now();
    try {
      return await this.exchange(options, text, sentAt);
    } catch (error) {
      return createResult(options, {
        kind: 'failed',
        outcome: 'unknown',
        code: (error as NodeJS.ErrnoException).code ?? (error as Error).message,
        totalMs: performance.now() - sentAt,
      });
    }
  }

  close(): void {
    this.agent.destroy();
  }

  private exchange(options: PromptOptions, text: string, sentAt: number): Promise<PromptResult> {
    const body = Buffer.from(
      `{"model":"${MODEL}","stream":true,"max_tokens":${options.maxTokens},"prompt":"${text}"}`,
    );
    return new Promise((resolve, reject) => {
      const request = startRequest(`${options.url}/v1/completions`, {
        method: 'POST',
        agent: this.agent,
        signal: AbortSignal.timeout(options.timeoutMs ?? TIMEOUT_MS),
        headers: {
          authorization: `Bearer ${options.key}`,
          'content-type': 'application/json',
          'content-length': body.length,
          ...options.headers,
        },
      });
      request.on('error', reject);
      request.on('response', (response) => {
        readAnswer(response, options, text, sentAt).then(resolve, reject);
      });
      request.end(body);
    });
  }
}

async function readAnswer(
  response: IncomingMessage,
  options: PromptOptions,
  text: string,
  sentAt: number,
): Promise<PromptResult> {
  const answerParts: string[] = [];
  let [firstTokenMs, isDone, code] = [0, false, ''];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        isDone = true;
        return;
      }
      const event = JSON.parse(data) as { error?: { code: string }; choices?: { text: string }[] };
      if (event.error) code = event.error.code;
      if (answerParts.length === 0 && firstTokenMs === 0) firstTokenMs = performance.now() - sentAt;
      answerParts.push(event.choices?.[0]?.text ?? '');
    },
  });
  response.setEncoding('utf8');
  let errorBody = '';
  for await (const chunk of response) {
    if (response.statusCode === 200) parser.feed(chunk as string);
    else errorBody += chunk as string;
  }
  const id = String(response.headers['azurecart-request-id'] ?? '');
  const totalMs = performance.now() - sentAt;
  const outcome = String(
    response.headers[OUTCOME_HEADER] ?? response.trailers[OUTCOME_HEADER] ?? '',
  );
  if (response.statusCode !== 200) {
    const errorResponse = JSON.parse(errorBody) as { error: { code: string } };
    const kind = outcome === 'not-run' ? 'refused' : 'failed';
    return createResult(options, { kind, outcome, code: errorResponse.error.code, totalMs, id });
  }
  const received = answerParts.join('');
  if (!isDone) {
    const kind = getExpectedAnswer(text, options.maxTokens).startsWith(received)
      ? 'failed'
      : 'wrong';
    return createResult(options, { kind, outcome, code: code || 'cut', totalMs, firstTokenMs, id });
  }
  const kind = received === getExpectedAnswer(text, options.maxTokens) ? 'whole' : 'wrong';
  const outputTokens = options.maxTokens;
  return createResult(options, {
    kind,
    outcome,
    code,
    totalMs,
    firstTokenMs,
    outputTokens,
    id,
  });
}

function createResult(
  options: PromptOptions,
  result: Partial<PromptResult> & Pick<PromptResult, 'kind'>,
): PromptResult {
  return {
    outcome: '',
    code: '',
    id: '',
    firstTokenMs: 0,
    totalMs: 0,
    promptTokens: options.promptTokens,
    outputTokens: 0,
    ...result,
  };
}

function createPromptText({ name, prefix = '', promptTokens }: PromptOptions): string {
  const start = `${prefix}${createHash('sha256').update(name).digest('hex')} `;
  return start.padEnd(promptTokens * BYTES_PER_TOKEN, 'valve gasket flange bolt ');
}

function getExpectedAnswer(text: string, maxTokens: number): string {
  const promptDigest = getPromptDigest(text);
  return Array.from({ length: maxTokens }, (_, offset) => getTokenText(promptDigest, offset)).join(
    '',
  );
}
