/**
 * Thrown when a call over a link fails. The peer may or may not have executed it, unless there was
 * no open link, the peer has no such method or the link pool is stopped; then it was not executed.
 */
export class LinkError extends Error {
  override readonly name = 'LinkError';
}
