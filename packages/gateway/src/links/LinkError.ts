/** Thrown when a call over a link fails; the peer may or may not have executed it. */
export class LinkError extends Error {
  override readonly name = 'LinkError';
}
