import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Link } from './Link.js';
import type { CallHandler } from './Link.js';
import { LinkFault } from './LinkFault.js';

/** Where a link goes to and what happens on it. */
export interface OutboundLinkOptions {
  host: string;
  port: number;
  handlers: Map<string, CallHandler>;
  /** Called for each connection, before any message is read. */
  onOpen?: (link: Link) => void;
}

/** Milliseconds for which a connection may take to be established. */
const CONNECT_TIMEOUT_MS = 700;
/** Milliseconds between two attempts. */
const RETRY_MS = 200;

/** A link that is opened again whenever it ends. */
export class OutboundLink {
  private link: Link | undefined;

  private isStopped = false;

  constructor(readonly options: OutboundLinkOptions) {}

  /** Keeps the link open until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const link = await this.open();
      if (link && !this.isStopped) {
        this.link = link;
        this.options.onOpen?.(link);
        await link.ended;
        this.link = undefined;
      }
      link?.close();
      await sleep(RETRY_MS);
    }
  }

  /** Gets the link while it is open. */
  get current(): Link | undefined {
    return this.link?.isOpen ? this.link : undefined;
  }

  /**
   * Calls the other side.
   * @throws LinkFault when there is no link, no answer in time, or the other side fails.
   */
  async call(method: string, body: unknown, timeoutMs: number): Promise<unknown> {
    const { current } = this;
    if (!current) throw new LinkFault(`${method}: no link`);
    return current.call(method, body, timeoutMs);
  }

  stop(): void {
    this.isStopped = true;
    this.link?.close();
  }

  private open(): Promise<Link | undefined> {
    const { host, port, handlers } = this.options;
    return new Promise((resolve) => {
      const socket = connect({ host, port });
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
