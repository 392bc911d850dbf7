/** A call over a link failed; whether the other side acted on it is unknown unless told. */
export class LinkFault extends Error {
  override readonly name = 'LinkFault';

  /** @param remote - True when the other side answered with an error. */
  constructor(
    message: string,
    readonly remote = false,
  ) {
    super(message);
  }
}
