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
/** Delay in milliseconds before reconnecting after a failed attempt or a closed connection. */
const RETRY_DELAY_MS = 200;

/** An outgoing link that reconnects whenever its connection is closed. */
export class OutboundLink {
  private link: Link | undefined;

  private isStopped = false;

  constructor(readonly options: OutboundLinkOptions) {}

  /** Connects and reconnects until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const link = await this.connect();
      if (link && !this.isStopped) {
        this.link = link;
        this.options.onOpen?.(link);
        await link.closed;
        this.link = undefined;
      }
      link?.close();
      await sleep(RETRY_DELAY_MS);
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
