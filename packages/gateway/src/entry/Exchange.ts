import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryBudget, MemoryHolder } from '@azurecart/scheduling';
import { BodyTooLargeError, OutOfMemoryError, readBody } from '../upstreams/index.js';
import { BodyTimeoutError } from './BodyTimeoutError.js';
import { ClientDisconnectedError } from './ClientDisconnectedError.js';

const MS_PER_SECOND = 1000;
/** Errors while a body is read that do not come from the connection. */
const OWN_BODY_ERRORS = [BodyTooLargeError, OutOfMemoryError, BodyTimeoutError];

/** Options of {@link Exchange.readBody}. */
export interface RequestBodyOptions {
  maxBytes: number;
  /** Milliseconds in which the body must arrive. */
  limitMs: number;
  /** Milliseconds for which the body may wait for memory. */
  waitMs: number;
  budget: MemoryBudget;
}

/** An HTTP request of a client and its response. */
export class Exchange {
  readonly startedAt = performance.now();

  private readonly disconnectController = new AbortController();

  private isBodyOverdue = false;

  /** @param shouldCloseConnection - True if the connection is to be closed after this response. */
  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    private readonly shouldCloseConnection: () => boolean,
  ) {
    const { socket } = request;
    const onDisconnect = (): void =>
      this.disconnectController.abort(new ClientDisconnectedError('client disconnected'));
    socket.once('close', onDisconnect);
    // A client that closes only its sending side counts as disconnected, too.
    socket.once('end', onDisconnect);
    const removeSocketListeners = (): void => {
      socket.removeListener('close', onDisconnect);
      socket.removeListener('end', onDisconnect);
    };
    response.once('finish', removeSocketListeners);
    response.once('close', () => {
      removeSocketListeners();
      if (!response.writableFinished) onDisconnect();
    });
  }

  /** Aborted when the client closes the connection, or half of it, before the response ends. */
  get disconnectSignal(): AbortSignal {
    return this.disconnectController.signal;
  }

  /** Milliseconds since the head of the request was read. */
  get elapsedMs(): number {
    return performance.now() - this.startedAt;
  }

  /**
   * Reads the whole body, which holds memory of the budget until the response ends.
   * @throws BodyTooLargeError if it exceeds the limit.
   * @throws OutOfMemoryError if there was no memory for it in time.
   * @throws BodyTimeoutError if it does not arrive in time.
   * @throws ClientDisconnectedError if it cannot be read to its end, because the client disconnects
   * or sends a malformed body.
   */
  async readBody(options: RequestBodyOptions): Promise<Buffer> {
    const { maxBytes, limitMs, waitMs, budget } = options;
    const holder = budget.open();
    this.holdUntilEnd(holder);
    const getWaitSignal = (): AbortSignal =>
      AbortSignal.any([this.disconnectSignal, AbortSignal.timeout(waitMs)]);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => reject(new BodyTimeoutError('body not received in time')), limitMs);
    });
    try {
      const reading = readBody(this.request, { maxBytes, holder, getWaitSignal });
      return await Promise.race([reading, timeout]);
    } catch (error) {
      holder.release();
      // The rest of the body may never come, so no other request can follow.
      this.isBodyOverdue = error instanceof BodyTimeoutError;
      if (OWN_BODY_ERRORS.some((type) => error instanceof type)) throw error;
      throw new ClientDisconnectedError(String(error));
    } finally {
      clearTimeout(timer);
    }
  }

  /** Releases memory once the response has ended or its connection is closed. */
  holdUntilEnd(holder: MemoryHolder): void {
    const release = (): void => holder.release();
    this.response.once('close', release);
    // A response that waits behind others on its connection does not emit `close`.
    this.disconnectSignal.addEventListener('abort', release);
  }

  /**
   * Sends an error response that is generated here, not relayed from an upstream. Destroys the
   * connection instead if a response has already begun or the client has disconnected.
   * `Retry-After` is in seconds with decimals, which the HTTP standard does not provide for,
   * because most delays are shorter than a second.
   */
  sendError(status: number, message: string, retryAfterMs?: number): void {
    if (this.response.headersSent || this.disconnectSignal.aborted) {
      this.abort();
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

  /** Sends status and headers, with `Connection: close` if the connection is to be closed. */
  writeHead(status: number, headers: [string, string][]): void {
    const list = headers.flat();
    if (this.isBodyOverdue || this.shouldCloseConnection()) list.push('Connection', 'close');
    this.response.writeHead(status, list);
  }

  /** Sends bytes, and waits until the response buffer drains if the client reads too slowly. */
  async write(bytes: Buffer): Promise<void> {
    if (this.response.write(bytes) || this.disconnectSignal.aborted) return;
    await new Promise<void>((resolve) => {
      const { response, disconnectSignal } = this;
      const resume = (): void => {
        response.removeListener('drain', resume);
        disconnectSignal.removeEventListener('abort', resume);
        resolve();
      };
      response.once('drain', resume);
      disconnectSignal.addEventListener('abort', resume);
    });
  }

  /** Destroys the connection, so that the client recognises an incomplete response. */
  abort(): void {
    this.response.destroy();
  }
}
