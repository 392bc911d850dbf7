/** Thrown when a call ends without a response. */
export class UpstreamFault extends Error {
  override readonly name = 'UpstreamError';

  /** @param isNotRun - True when no connection was established, so the request was never sent. */
  constructor(
    message: string,
    readonly isNotRun: boolean,
  ) {
    super(message);
  }
}
