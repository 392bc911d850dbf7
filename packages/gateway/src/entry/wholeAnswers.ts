import type { IncomingMessage } from 'node:http';
import { CompletionWatch } from '../upstreams/index.js';
import type { WholeAnswer } from './AttemptOutcome.js';
import type { Exchange } from './Exchange.js';

/** Longest answer of an upstream that is held in memory, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Reads a whole answer; undefined when it is cut short or too long. */
export async function readWhole(response: IncomingMessage): Promise<Buffer | undefined> {
  const watch = new CompletionWatch(response);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return (await watch.isWhole()) ? Buffer.concat(chunks) : undefined;
}

/** Sends a whole answer unchanged. */
export function sendWhole(exchange: Exchange, answer: WholeAnswer): void {
  if (exchange.response.headersSent) {
    exchange.cut();
    return;
  }
  const headers = answer.headers.filter(([name]) => name.toLowerCase() !== 'content-length');
  headers.push(['Content-Length', String(answer.body.length)]);
  exchange.writeHead(answer.status, headers);
  exchange.response.end(answer.body);
}
