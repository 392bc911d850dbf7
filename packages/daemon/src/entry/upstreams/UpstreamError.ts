import type { Outcome } from '@azurecart/protocol';

/** Thrown when a request to an upstream fails. */
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError';

  /** @param outcome - Whether the upstream may have run the request. */
  constructor(
    message: string,
    readonly outcome: Extract<Outcome, 'not-run' | 'unknown'>,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
