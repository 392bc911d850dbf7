import type { IncomingMessage } from 'node:http';
import { setImmediate as nextTurn } from 'node:timers/promises';

/** An empty line, which servers skip before a request. */
const EMPTY_LINE = '\r\n';

/**
 * Tells whether an answer came whole.
 * @remarks An answer without a length ends with its connection, and is whole only when the
 * connection was closed in order. The runtime reports a reset that arrives together with data as
 * an orderly end, and only a write tells the two apart: it fails at once after a reset.
 */
export class CompletionWatch {
  private hasFailed = false;

  private readonly hasLength: boolean;

  /** @param response - Answer whose body has not been read yet. */
  constructor(private readonly response: IncomingMessage) {
    const { headers, socket } = response;
    this.hasLength =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    if (this.hasLength) return;
    socket.once('error', () => {
      this.hasFailed = true;
    });
    socket.prependOnceListener('end', () => {
      if (!socket.writable) return;
      socket.write(EMPTY_LINE, (error) => {
        if (error) this.hasFailed = true;
      });
    });
  }

  /** Decides after the whole body was read. */
  async isWhole(): Promise<boolean> {
    if (!this.response.complete) return false;
    if (this.hasLength) return true;
    await nextTurn();
    await nextTurn();
    return !this.hasFailed;
  }
}
