import type { CallHandler, Link } from '../links/index.js';
import { LinkError, OutboundLink, parseAddress } from '../links/index.js';

/** Options of a {@link LinkPool}. */
export interface LinkPoolOptions {
  /** Link address of this process as `host:port`; `retain` opens no link to it. */
  ownAddress: string;
  handlers: Map<string, CallHandler>;
  /** Called each time that a link is connected. */
  onOpen: (link: Link, address: string) => void;
}

/** Pool of reconnecting links to control processes, by address. */
export class LinkPool {
  private readonly links = new Map<string, OutboundLink>();

  private isStopped = false;

  constructor(private readonly options: LinkPoolOptions) {}

  /**
   * Gets the link to an address, or creates it.
   * @throws LinkError when the pool is stopped.
   */
  getLink(address: string): OutboundLink {
    if (this.isStopped) throw new LinkError('the link pool is stopped');
    const known = this.links.get(address);
    if (known) return known;
    const link = new OutboundLink({
      ...parseAddress(address),
      handlers: this.options.handlers,
      onOpen: (opened) => this.options.onOpen(opened, address),
    });
    this.links.set(address, link);
    link.run().catch(() => this.links.delete(address));
    return link;
  }

  /** Opens links to the given addresses and closes all others. */
  retain(addresses: string[]): void {
    if (this.isStopped) return;
    const wanted = new Set(addresses.filter((address) => address !== this.options.ownAddress));
    wanted.forEach((address) => this.getLink(address));
    for (const [address, link] of this.links) {
      if (!wanted.has(address)) {
        link.stop();
        this.links.delete(address);
      }
    }
  }

  /** Gets the addresses to which links exist. */
  getAddresses(): string[] {
    return [...this.links.keys()];
  }

  stop(): void {
    this.isStopped = true;
    this.links.forEach((link) => link.stop());
  }
}
