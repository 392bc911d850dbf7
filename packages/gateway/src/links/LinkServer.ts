import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { listenAt } from './addresses.js';
import { Link } from './Link.js';
import type { CallHandler } from './Link.js';

/** Options of a {@link LinkServer}. */
export interface LinkServerOptions {
  host: string;
  port: number;
  handlers: Map<string, CallHandler>;
  /** Called for each accepted connection, before any message is read. */
  onLink: (link: Link) => void;
}

/** Accepts links from other processes. */
export class LinkServer {
  private readonly links = new Set<Link>();

  private readonly server: Server;

  constructor(private readonly options: LinkServerOptions) {
    this.server = createServer((socket) => {
      const link = new Link({ socket, handlers: options.handlers });
      this.links.add(link);
      link.closed.then(() => this.links.delete(link));
      options.onLink(link);
    });
  }

  /** Starts listening; rejects if that fails. */
  start(): Promise<void> {
    const { host, port } = this.options;
    return listenAt(this.server, `${host}:${port}`);
  }

  /** Closes the server and all accepted links. */
  stop(): void {
    this.server.close();
    this.links.forEach((link) => link.close());
  }
}
