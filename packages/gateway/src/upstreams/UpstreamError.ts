/** Thrown when a call ends without a response. */
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError';

  /**
   * @param isUnsent - True when no connection was established, so the request was never sent.
   * @param isReset - True when the other side reset an established connection.
   */
  constructor(
    message: string,
    readonly isUnsent: boolean,
    readonly isReset = false,
  ) {
    super(message);
  }
}
