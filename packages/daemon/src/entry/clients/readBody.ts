import type { IncomingMessage } from 'node:http';
import { createBadRequest } from './apiFaults.js';

/** Limits of a body. */
export interface BodyLimits {
  bodyBytes: number;
  bodyTimeoutMs: number;
}

/**
 * Gets the declared length of a body.
 * @throws ApiFault when none is declared, or it is over the limit.
 */
export function getDeclaredLength(request: IncomingMessage, limits: BodyLimits): number {
  const text = request.headers['content-length'];
  if (text === undefined && request.headers['transfer-encoding'] === undefined) return 0;
  if (text === undefined) {
    throw createBadRequest('content-length is needed', 'length_required', 411);
  }
  const length = Number(text);
  if (length > limits.bodyBytes) {
    const message = `the body has ${length} bytes, at most ${limits.bodyBytes} are taken`;
    throw createBadRequest(message, 'body_too_large', 413);
  }
  return length;
}

/**
 * Reads a body of a declared length into memory of its own.
 * @throws ApiFault when the body is cut short or too slow.
 */
export async function readBody(
  request: IncomingMessage,
  length: number,
  limits: BodyLimits,
): Promise<Buffer> {
  const body = Buffer.allocUnsafeSlow(length);
  const timer = setTimeout(() => request.destroy(), limits.bodyTimeoutMs);
  let filled = 0;
  try {
    for await (const chunk of request) {
      filled += (chunk as Buffer).copy(body, filled);
    }
  } catch {
    throw createBadRequest(`the body ended after ${filled} of ${length} bytes`, 'body_cut', 408);
  } finally {
    clearTimeout(timer);
  }
  if (filled < length) throw createBadRequest('the body is too short', 'body_cut');
  return body;
}
