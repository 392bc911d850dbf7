/** Why a call ended without an answer. */
export class UpstreamFault extends Error {
  override readonly name = 'UpstreamFault';

  /** @param isNotRun - True when the request certainly did not reach the upstream. */
  constructor(
    message: string,
    readonly isNotRun: boolean,
  ) {
    super(message);
  }
}
