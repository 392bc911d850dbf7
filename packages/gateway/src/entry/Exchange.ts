import type { IncomingMessage, ServerResponse } from 'node:http';
import { BodyTooLong } from './BodyTooLong.js';
import { ClientGone } from './ClientGone.js';

/** Seconds with which `retry-after` tells milliseconds. */
const MS_PER_SECOND = 1000;

/** One request of a client and the answer to it. */
export class Exchange {
  readonly startedAt = performance.now();

  private readonly controller = new AbortController();

  /** @param isClosing - True when the connection is to end with this answer. */
  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    private readonly isClosing: () => boolean,
  ) {
    const { socket } = request;
    const leave = (): void => this.controller.abort(new ClientGone('client left'));
    socket.once('close', leave);
    socket.once('end', leave);
    const settle = (): void => {
      socket.removeListener('close', leave);
      socket.removeListener('end', leave);
    };
    response.once('finish', settle);
    response.once('close', () => {
      settle();
      if (!response.writableFinished) leave();
    });
  }

  /** Aborted when the client leaves before the answer is complete. */
  get left(): AbortSignal {
    return this.controller.signal;
  }

  /** Milliseconds since the request's head was read. */
  get elapsedMs(): number {
    return performance.now() - this.startedAt;
  }

  /**
   * Reads the whole body.
   * @throws BodyTooLong when it exceeds the limit.
   * @throws ClientGone when the client leaves before its end.
   */
  async readBody(maxBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of this.request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maxBytes) throw new BodyTooLong(`body exceeds ${maxBytes} bytes`);
        chunks.push(chunk);
      }
    } catch (error) {
      if (error instanceof BodyTooLong) throw error;
      throw new ClientGone(String(error));
    }
    return chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
  }

  /** Sends an answer of this system. */
  reply(status: number, message: string, retryAfterMs?: number): void {
    if (this.response.headersSent || this.left.aborted) {
      this.cut();
      return;
    }
    const body = Buffer.from(JSON.stringify({ error: { message } }));
    this.writeHead(status, [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(body.length)],
      ...(retryAfterMs === undefined
        ? []
        : [['Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3)] as [string, string]]),
    ]);
    this.response.end(body);
  }

  /** Sends the head of an upstream's answer. */
  writeHead(status: number, headers: [string, string][]): void {
    const list = headers.flat();
    if (this.isClosing()) list.push('Connection', 'close');
    this.response.writeHead(status, list);
  }

  /** Sends bytes and waits while the client does not read. */
  async write(bytes: Buffer): Promise<void> {
    if (this.response.write(bytes) || this.left.aborted) return;
    await new Promise<void>((resolve) => {
      const { response, left } = this;
      const resume = (): void => {
        response.removeListener('drain', resume);
        left.removeEventListener('abort', resume);
        resolve();
      };
      response.once('drain', resume);
      left.addEventListener('abort', resume);
    });
  }

  /** Ends the connection, so that an unfinished answer does not look complete. */
  cut(): void {
    this.response.destroy();
  }
}
