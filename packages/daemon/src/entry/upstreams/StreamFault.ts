import type { Outcome } from '@azurecart/protocol';

/** An upstream's answer failed. */
export class StreamFault extends Error {
  override readonly name = 'StreamFault';

  /** @param outcome - Whether the request can have run. */
  constructor(
    message: string,
    readonly outcome: Extract<Outcome, 'not-run' | 'unknown'>,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
