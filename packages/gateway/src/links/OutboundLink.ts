import { connect as openSocket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Link } from './Link.js';
import type { CallHandler } from './Link.js';
import { LinkError } from './LinkError.js';

/** Options of an {@link OutboundLink}. */
export interface OutboundLinkOptions {
  host: string;
  port: number;
  handlers: Map<string, CallHandler>;
  /** Called for each established connection, before any message is read. */
  onOpen?: (link: Link) => void;
}

/** Time limit in milliseconds for establishing a connection. */
const CONNECT_TIMEOUT_MS = 700;
/**
 * Delays in milliseconds before reconnecting. Each attempt doubles the delay until a connection has
 * lasted: processes that start together reach each other soon, and one that closes every connection
 * is not flooded.
 */
const MIN_RETRY_DELAY_MS = 25;
const MAX_RETRY_DELAY_MS = 200;
const LASTING_MS = 1000;

/** An outgoing link that reconnects whenever its connection is closed. */
export class OutboundLink {
  private link: Link | undefined;

  private isStopped = false;

  constructor(readonly options: OutboundLinkOptions) {}

  /** Connects and reconnects until stopped. */
  async run(): Promise<void> {
    let delayMs = MIN_RETRY_DELAY_MS;
    while (!this.isStopped) {
      const link = await this.connect();
      if (link && !this.isStopped) {
        const openedAt = performance.now();
        this.link = link;
        this.options.onOpen?.(link);
        await link.closed;
        this.link = undefined;
        if (performance.now() - openedAt > LASTING_MS) delayMs = MIN_RETRY_DELAY_MS;
      }
      link?.close();
      await sleep(delayMs);
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
    }
  }

  /** Gets the current connection, or undefined while disconnected. */
  get current(): Link | undefined {
    return this.link?.isOpen ? this.link : undefined;
  }

  /**
   * Calls a method of the peer.
   * @throws LinkError while disconnected, and in the cases of {@link Link.call}.
   */
  async call(method: string, body: unknown, timeoutMs: number): Promise<unknown> {
    const { current } = this;
    if (!current) throw new LinkError(`${method}: no link`);
    return current.call(method, body, timeoutMs);
  }

  stop(): void {
    this.isStopped = true;
    this.link?.close();
  }

  private connect(): Promise<Link | undefined> {
    const { host, port, handlers } = this.options;
    return new Promise((resolve) => {
      const socket = openSocket({ host, port });
      const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
      socket.on('error', () => socket.destroy());
      socket.once('connect', () => {
        clearTimeout(timer);
        resolve(new Link({ socket, handlers }));
      });
    });
  }
}
