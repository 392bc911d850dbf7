import { createHash } from 'node:crypto';
import { Agent, request as startRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import { BYTES_PER_TOKEN, OUTCOME_HEADER } from '@azurecart/protocol';
import { getPromptMark, getTokenText } from '../engine/FakeEngine.js';

/** A prompt to be sent. */
export interface PromptOptions {
  url: string;
  key: string;
  /** Makes the prompt's text differ from all others. */
  name: string;
  promptTokens: number;
  maxTokens: number;
  headers?: Record<string, string>;
  /** Text that several prompts begin with. */
  prefix?: string;
  timeoutMs?: number;
}

/** What became of a prompt. */
export interface PromptResult {
  /** `whole`, `refused`, `failed` or `wrong`. */
  kind: 'whole' | 'refused' | 'failed' | 'wrong';
  outcome: string;
  code: string;
  firstTokenMs: number;
  totalMs: number;
  promptTokens: number;
  answerTokens: number;
  /** Id that the system gave the request; empty when it gave none. */
  id: string;
}

const MODEL = 'fitting-assist';
const TIMEOUT_MS = 180_000;

/** Sends prompts and checks that each answer is whole and its own. */
export class PromptClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4096 });

  /** Sends a prompt; never rejects. */
  async send(options: PromptOptions): Promise<PromptResult> {
    const text = createText(options);
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
  const answer: string[] = [];
  let [firstTokenMs, isDone, code] = [0, false, ''];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        isDone = true;
        return;
      }
      const part = JSON.parse(data) as { error?: { code: string }; choices?: { text: string }[] };
      if (part.error) code = part.error.code;
      if (answer.length === 0 && firstTokenMs === 0) firstTokenMs = performance.now() - sentAt;
      answer.push(part.choices?.[0]?.text ?? '');
    },
  });
  response.setEncoding('utf8');
  let raw = '';
  for await (const chunk of response) {
    if (response.statusCode === 200) parser.feed(chunk as string);
    else raw += chunk as string;
  }
  const id = String(response.headers['azurecart-request-id'] ?? '');
  const totalMs = performance.now() - sentAt;
  const outcome = String(
    response.headers[OUTCOME_HEADER] ?? response.trailers[OUTCOME_HEADER] ?? '',
  );
  if (response.statusCode !== 200) {
    const refusal = JSON.parse(raw) as { error: { code: string } };
    const kind = outcome === 'not-run' ? 'refused' : 'failed';
    return createResult(options, { kind, outcome, code: refusal.error.code, totalMs, id });
  }
  const joined = answer.join('');
  if (!isDone) {
    const kind = getExpected(text, options.maxTokens).startsWith(joined) ? 'failed' : 'wrong';
    return createResult(options, { kind, outcome, code: code || 'cut', totalMs, firstTokenMs, id });
  }
  const kind = joined === getExpected(text, options.maxTokens) ? 'whole' : 'wrong';
  const answerTokens = options.maxTokens;
  return createResult(options, {
    kind,
    outcome,
    code,
    totalMs,
    firstTokenMs,
    answerTokens,
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
    answerTokens: 0,
    ...result,
  };
}

function createText({ name, prefix = '', promptTokens }: PromptOptions): string {
  const start = `${prefix}${createHash('sha256').update(name).digest('hex')} `;
  return start.padEnd(promptTokens * BYTES_PER_TOKEN, 'valve gasket flange bolt ');
}

function getExpected(text: string, maxTokens: number): string {
  const mark = getPromptMark(text);
  return Array.from({ length: maxTokens }, (_, offset) => getTokenText(mark, offset)).join('');
}
