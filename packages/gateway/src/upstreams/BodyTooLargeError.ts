/** Thrown when a request body exceeds the configured limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}
