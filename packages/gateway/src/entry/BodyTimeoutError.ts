/** Thrown when a client does not send the body of its request within the time limit. */
export class BodyTimeoutError extends Error {
  override readonly name = 'BodyTimeoutError';
}
