import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import type { Outcome } from '@azurecart/protocol';
import { sendJson } from '../../http/index.js';

/** Describes a failed request to the client. */
export interface ApiErrorOptions {
  status: number;
  /** Error type of the completions protocol. */
  type: string;
  /** Machine-readable error code. */
  code: string;
  message: string;
  /** Whether the request ran. */
  outcome: Outcome;
  /** Time after which a retry may succeed. */
  retryAfterMs?: number;
}

/** Thrown when a request fails; carries the error response for the client. */
export class ApiError extends Error {
  override readonly name = 'ApiError';

  constructor(readonly options: ApiErrorOptions) {
    super(options.message);
  }

  /** Gets the response body in the error format of the completions protocol. */
  toBody(): { error: Record<string, unknown> } {
    const { type, code, message, outcome, retryAfterMs } = this.options;
    const retry = retryAfterMs ? { retry_after_ms: Math.ceil(retryAfterMs) } : {};
    return { error: { message, type, code, param: null, outcome, ...retry } };
  }

  /** Sends the error as a complete response. */
  send(response: ServerResponse, headers: OutgoingHttpHeaders = {}): void {
    const { status, outcome, retryAfterMs } = this.options;
    sendJson(response, status, this.toBody(), {
      ...headers,
      [OUTCOME_HEADER]: outcome,
      ...(retryAfterMs
        ? { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / 1000))) }
        : {}),
    });
  }
}
