/** A call over a link failed; whether the other side acted on it is unknown. */
export class LinkFault extends Error {
  override readonly name = 'LinkFault';
}
