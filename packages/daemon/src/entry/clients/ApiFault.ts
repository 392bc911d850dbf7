import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import type { Outcome } from '@azurecart/protocol';
import { sendJson } from '../../http/index.js';

/** What a client is told about a failed request. */
export interface ApiFaultOptions {
  status: number;
  /** Class of the error, as in the completions protocol. */
  type: string;
  /** Short name of the error. */
  code: string;
  message: string;
  /** Whether the request ran. */
  outcome: Outcome;
  /** Time after which another try may succeed. */
  retryAfterMs?: number;
}

/** A request failed; carries what the client is told. */
export class ApiFault extends Error {
  override readonly name = 'ApiFault';

  constructor(readonly options: ApiFaultOptions) {
    super(options.message);
  }

  /** Gets the error object of the completions protocol. */
  toBody(): { error: Record<string, unknown> } {
    const { type, code, message, outcome, retryAfterMs } = this.options;
    const retry = retryAfterMs ? { retry_after_ms: Math.ceil(retryAfterMs) } : {};
    return { error: { message, type, code, param: null, outcome, ...retry } };
  }

  /** Sends the error as a whole answer. */
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
