/** The body is longer than allowed. */
export class BodyTooLong extends Error {
  override readonly name = 'BodyTooLong';
}
