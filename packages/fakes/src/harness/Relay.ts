import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/**
 * TCP relay that simulates network failures by dropping data in both directions or one. Unlike in a
 * network partition, dropped bytes are not sent again: a connection that stays open has a gap in its
 * data after `restore`.
 */
export class Relay {
  private readonly server: Server;

  private readonly connections = new Set<{ client: Socket; target: Socket; isStalled: boolean }>();

  /** Bytes forwarded so far in both directions. */
  forwardedBytes = 0;

  private dropsAll = false;

  private dropsResponses = false;

  constructor(private readonly target: { host: string; port: number }) {
    this.server = createServer((client) => this.accept(client));
  }

  async start(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Drops all data without closing connections. */
  dropAll(): void {
    this.dropsAll = true;
  }

  /** Forwards requests and drops responses. */
  dropResponses(): void {
    this.dropsResponses = true;
  }

  /** Drops all further data of the open connections for good; new connections are not affected. */
  stallOpenConnections(): void {
    this.connections.forEach((connection) => Object.assign(connection, { isStalled: true }));
  }

  /** Forwards data in both directions again, except on connections stalled for good. */
  restore(): void {
    this.dropsAll = false;
    this.dropsResponses = false;
  }

  async stop(): Promise<void> {
    this.connections.forEach(({ client, target }) => {
      client.destroy();
      target.destroy();
    });
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(client: Socket): void {
    const target = connect(this.target.port, this.target.host);
    const connection = { client, target, isStalled: false };
    this.connections.add(connection);
    const isDropping = (): boolean => this.dropsAll || connection.isStalled;
    client.on('data', (chunk) => {
      if (isDropping()) return;
      this.forwardedBytes += chunk.length;
      target.write(chunk);
    });
    target.on('data', (chunk) => {
      if (isDropping() || this.dropsResponses) return;
      this.forwardedBytes += chunk.length;
      client.write(chunk);
    });
    const close = (): void => {
      client.destroy();
      target.destroy();
      this.connections.delete(connection);
    };
    [client, target].forEach((socket) => socket.on('error', close).on('close', close));
  }
}
