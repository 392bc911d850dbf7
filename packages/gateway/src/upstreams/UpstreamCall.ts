import { request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { parseAddress } from '../links/index.js';
import type { UpstreamAgent } from './UpstreamAgent.js';
import { UpstreamError } from './UpstreamError.js';

/** Options of an {@link UpstreamCall}. */
export interface UpstreamCallOptions {
  address: string;
  method: string;
  path: string;
  headers: [string, string][];
  body: Buffer;
  /** Agent that pools connections; without it the call opens a connection of its own. */
  agent?: UpstreamAgent;
  /** Time limit in milliseconds for establishing a new connection. */
  connectTimeoutMs: number;
}

/**
 * Maximum number of bytes before the end of the headers, as received. It includes interim responses
 * and white space, which the limit of Node.js on headers (16 KiB) does not.
 */
const MAX_HEAD_BYTES = 64 * 1024;
/**
 * Bytes after the headers that may arrive without a body that is read. Covers what is received ahead
 * of the reader, and bodies in small chunks.
 */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Bytes as received that each byte of the body allows for, which includes its framing. */
const RECEIVED_BYTES_PER_BODY_BYTE = 1.5;
/** Milliseconds in which the rest of an unused response must arrive. */
const DISCARD_TIMEOUT_MS = 500;

/** A single HTTP request to an upstream; the body of the response is read by the caller. */
export class UpstreamCall {
  private request: ClientRequest | undefined;

  private isConnected = false;

  /** Number of bytes that may still be received before the connection is destroyed. */
  private byteAllowance = MAX_HEAD_BYTES;

  private abortReason: string | undefined;

  private isAborted = false;

  /** True when the request was sent on a connection that earlier requests had used. */
  get isReused(): boolean {
    return this.request?.reusedSocket ?? false;
  }

  constructor(private readonly options: UpstreamCallOptions) {}

  /**
   * Sends the request and resolves with the response once its headers have arrived.
   * @throws UpstreamError when the address or a header is invalid, the connection fails, is closed
   * before a response, or exceeds the limit on bytes before the end of the headers.
   */
  send(): Promise<IncomingMessage> {
    const { options } = this;
    return new Promise((resolve, reject) => {
      const request = this.open();
      this.request = request;
      const timer = setTimeout(() => {
        request.destroy(new Error('connection not established in time'));
      }, options.connectTimeoutMs);
      request.once('socket', (socket) => {
        const onConnected = (): void => {
          this.isConnected = true;
          clearTimeout(timer);
        };
        if (socket.connecting) socket.once('connect', onConnected);
        else onConnected();
        this.limitBytes(request, socket);
      });
      request.once('response', (response) => {
        this.byteAllowance = MAX_FRAMING_BYTES;
        resolve(response);
      });
      request.on('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        // Node.js reports a connection that this side has destroyed as a reset, too.
        const isReset = error.code === 'ECONNRESET' && !this.isAborted;
        reject(new UpstreamError(this.abortReason ?? error.message, !this.isConnected, isReset));
      });
      request.once('close', () => {
        clearTimeout(timer);
        const reason = this.abortReason ?? 'connection closed without an answer';
        reject(new UpstreamError(reason, !this.isConnected));
      });
      request.end(options.body);
    });
  }

  /**
   * Records that a part of the body was read. Bytes that are not part of a recorded body, such as
   * chunk lengths and extensions, are limited.
   */
  recordBody(byteCount: number): void {
    this.byteAllowance += byteCount * RECEIVED_BYTES_PER_BODY_BYTE;
  }

  /**
   * Discards the rest of a response, so that its connection can be reused; destroys the connection if
   * the rest is long or does not arrive in time.
   */
  discard(response: IncomingMessage): void {
    const timer = setTimeout(() => {
      // After a complete response the connection may serve another request.
      if (!response.complete) this.abort();
    }, DISCARD_TIMEOUT_MS);
    const stopTimer = (): void => clearTimeout(timer);
    response.once('end', stopTimer);
    response.once('close', stopTimer);
    response.resume();
  }

  /** Aborts the request and destroys its connection. */
  abort(): void {
    this.isAborted = true;
    this.request?.destroy();
  }

  private open(): ClientRequest {
    const { options } = this;
    try {
      const request = openRequest({
        ...parseAddress(options.address),
        method: options.method,
        path: options.path,
        headers: toHeaderList(options),
        agent: options.agent ?? false,
        setHost: false,
      });
      // Node.js ignores further headers silently; `MAX_HEAD_BYTES` bounds their number instead.
      request.maxHeadersCount = 0;
      return request;
    } catch (error) {
      throw new UpstreamError(String(error), true);
    }
  }

  private limitBytes(request: ClientRequest, socket: Socket): void {
    // The parser of the response has handled the chunk before, as it was the first to listen.
    const countBytes = (chunk: Buffer): void => {
      this.byteAllowance -= chunk.length;
      if (this.byteAllowance >= 0) return;
      // Without an error: Node.js would take the end of the connection for that of the body.
      this.abortReason = 'too many bytes outside of headers and body';
      this.abort();
    };
    socket.on('data', countBytes);
    // Emitted before the connection returns to the agent.
    request.once('close', () => socket.removeListener('data', countBytes));
  }
}

function toHeaderList({ headers, body, method, agent }: UpstreamCallOptions): string[] {
  const list = headers.filter(([name]) => name.toLowerCase() !== 'content-length').flat();
  const hasBody = body.length > 0 || (method !== 'GET' && method !== 'HEAD');
  if (hasBody) list.push('Content-Length', String(body.length));
  list.push('Connection', agent ? 'keep-alive' : 'close');
  return list;
}
