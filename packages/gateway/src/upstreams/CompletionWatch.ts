import type { IncomingMessage } from 'node:http';

/**
 * Tells whether an answer came whole.
 * @remarks The HTTP parser takes any end of the connection for the end of an answer without a
 * length. Here such an answer is whole only when the connection ended in order.
 */
export class CompletionWatch {
  private hasFailed = false;

  /** @param response - Answer whose body has not been read yet. */
  constructor(private readonly response: IncomingMessage) {
    response.socket.once('error', () => {
      this.hasFailed = true;
    });
  }

  get isWhole(): boolean {
    const { headers, complete } = this.response;
    const hasLength =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    return complete && (hasLength || !this.hasFailed);
  }
}
