import type { CallHandler, Link } from '../links/index.js';
import { LinkError, OutboundLink, parseAddress } from '../links/index.js';

/** What a mesh needs. */
export interface MeshOptions {
  /** This process's own `host:port`, to which no link is opened. */
  self: string;
  handlers: Map<string, CallHandler>;
  onOpen: (link: Link, address: string) => void;
}

/** Links to the control processes, opened on demand and kept open. */
export class Mesh {
  private readonly links = new Map<string, OutboundLink>();

  private isStopped = false;

  constructor(private readonly options: MeshOptions) {}

  /**
   * Gets the link to an address and opens it when there is none.
   * @throws LinkError when the mesh has stopped.
   */
  getLink(address: string): OutboundLink {
    if (this.isStopped) throw new LinkError('the mesh has stopped');
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

  /** Opens links to addresses and closes those to others. */
  retain(addresses: string[]): void {
    if (this.isStopped) return;
    const wanted = new Set(addresses.filter((address) => address !== this.options.self));
    wanted.forEach((address) => this.getLink(address));
    for (const [address, link] of this.links) {
      if (!wanted.has(address)) {
        link.stop();
        this.links.delete(address);
      }
    }
  }

  getAddresses(): string[] {
    return [...this.links.keys()];
  }

  stop(): void {
    this.isStopped = true;
    this.links.forEach((link) => link.stop());
  }
}
