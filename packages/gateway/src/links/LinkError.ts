/**
 * Thrown when a call over a link fails. The peer may or may not have executed it, for example if
 * the link was closed during the call (`link was closed`). It was not executed if there was no open
 * link (`no link`, `link is closed`), the peer has no such method (`unknown method`) or the link
 * pool is stopped.
 */
export class LinkError extends Error {
  override readonly name = 'LinkError';
}
