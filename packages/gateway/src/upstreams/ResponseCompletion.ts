import type { IncomingMessage } from 'node:http';
import { setImmediate as nextTurn } from 'node:timers/promises';

/** An empty line, which HTTP servers ignore before a request line. */
const EMPTY_LINE = '\r\n';

/**
 * Detects whether a response was received completely.
 * @remarks A response with neither `Content-Length` nor `Transfer-Encoding` is delimited by the end
 * of its connection, so it is complete only if the connection was closed without a reset. Node.js
 * reports a reset that arrives together with data as a regular end of the stream. A write to the
 * socket tells the two apart: after a reset it fails immediately.
 */
export class ResponseCompletion {
  private hasSocketFailed = false;

  private readonly isDelimited: boolean;

  /** @param response - Response whose body has not been read yet. */
  constructor(private readonly response: IncomingMessage) {
    const { headers, socket } = response;
    this.isDelimited =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    if (this.isDelimited) return;
    socket.once('error', () => {
      this.hasSocketFailed = true;
    });
    socket.prependOnceListener('end', () => {
      if (!socket.writable) return;
      socket.write(EMPTY_LINE, (error) => {
        if (error) this.hasSocketFailed = true;
      });
    });
  }

  /** True if only the end of the connection ends the response. */
  get isCloseDelimited(): boolean {
    return !this.isDelimited;
  }

  /** Returns whether the response is complete; call it after reading the body to its end. */
  async isComplete(): Promise<boolean> {
    if (!this.response.complete) return false;
    if (this.isDelimited) return true;
    // After two turns of the event loop, the write made on `end` has reported its failure if the
    // connection was reset.
    await nextTurn();
    await nextTurn();
    return !this.hasSocketFailed;
  }
}
