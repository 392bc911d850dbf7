import type { IncomingMessage } from 'node:http';
import { createBadRequest } from './apiErrors.js';

/** Limits of a request body. */
export interface BodyLimits {
  bodyBytes: number;
  bodyTimeoutMs: number;
}

/**
 * Gets the declared length of a body; 0 for a request without a body.
 * @throws ApiError when a body has no declared length, or one over the limit.
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
 * Reads a body of a declared length into a buffer outside the shared pool, which can therefore be
 * transferred to a worker.
 * @throws ApiError when the body is truncated or arrives too slowly.
 */
export async function readBody(
  request: IncomingMessage,
  length: number,
  limits: BodyLimits,
): Promise<Buffer> {
  const body = Buffer.allocUnsafeSlow(length);
  const timer = setTimeout(() => request.destroy(), limits.bodyTimeoutMs);
  let bytesRead = 0;
  try {
    for await (const chunk of request) {
      bytesRead += (chunk as Buffer).copy(body, bytesRead);
    }
  } catch {
    // After a timeout the socket is closed, so the message does not reach the client.
    throw createBadRequest(`the body ended after ${bytesRead} of ${length} bytes`, 'body_cut', 408);
  } finally {
    clearTimeout(timer);
  }
  if (bytesRead < length) throw createBadRequest('the body is too short', 'body_cut');
  return body;
}
