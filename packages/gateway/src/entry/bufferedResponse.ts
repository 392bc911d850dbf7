import type { IncomingMessage } from 'node:http';
import type { MemoryHolder } from '@azurecart/scheduling';
import { readBody, ResponseCompletion } from '../upstreams/index.js';
import type { UpstreamCall } from '../upstreams/index.js';
import type { BufferedResponse } from './AttemptOutcome.js';
import type { Exchange } from './Exchange.js';

/** Maximum size in bytes of a response body; bounds the memory that one request occupies. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * Reads the complete body of a response; undefined if it is truncated or too large, or if there is no
 * memory for it before the signal is aborted.
 */
export async function readBufferedBody(
  response: IncomingMessage,
  call: UpstreamCall,
  holder: MemoryHolder,
  signal: AbortSignal,
): Promise<Buffer | undefined> {
  const completion = new ResponseCompletion(response);
  try {
    const body = await readBody(response, {
      maxBytes: MAX_RESPONSE_BYTES,
      holder,
      getWaitSignal: () => signal,
      onChunk: (byteCount) => call.recordBody(byteCount),
    });
    return (await completion.isComplete()) ? body : undefined;
  } catch {
    call.abort();
    return undefined;
  }
}

/** Sends status, headers and body of a buffered response; aborts if a response has begun. */
export function sendBufferedResponse(exchange: Exchange, buffered: BufferedResponse): void {
  if (exchange.response.headersSent) {
    exchange.abort();
    return;
  }
  const headers = buffered.headers.filter(([name]) => name.toLowerCase() !== 'content-length');
  headers.push(['Content-Length', String(buffered.body.length)]);
  exchange.writeHead(buffered.status, headers);
  exchange.response.end(buffered.body);
}
