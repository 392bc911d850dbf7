import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

interface Connection {
  client: Socket;
  target: Socket;
  isStalled: boolean;
}

/**
 * TCP relay that simulates network failures: dropped data in both directions or one, delays and
 * resets. Unlike in a network partition, dropped bytes are not sent again: a connection that stays
 * open has a gap in its data after `restore`.
 */
export class Relay {
  private readonly server: Server;

  private readonly connections = new Set<Connection>();

  /** Bytes forwarded so far in both directions. */
  forwardedBytes = 0;

  private dropsRequests = false;

  private dropsResponses = false;

  private delayMs = 0;

  constructor(private target: { host: string; port: number }) {
    this.server = createServer({ allowHalfOpen: true }, (client) => this.accept(client));
  }

  /** Changes where new connections go. */
  retarget(target: { host: string; port: number }): void {
    this.target = target;
  }

  async start(port: number, host = '127.0.0.1'): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Drops all data without closing connections. */
  dropAll(): void {
    this.dropsRequests = true;
    this.dropsResponses = true;
  }

  /** Forwards responses and drops requests. */
  dropRequests(): void {
    this.dropsRequests = true;
  }

  /** Forwards requests and drops responses. */
  dropResponses(): void {
    this.dropsResponses = true;
  }

  /** Delays all data in both directions. */
  delay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Drops all further data of the open connections for good; new connections are not affected. */
  stallOpenConnections(): void {
    this.connections.forEach((connection) => Object.assign(connection, { isStalled: true }));
  }

  /** Resets the open connections on both sides; new connections are not affected. */
  resetOpenConnections(): void {
    this.connections.forEach(({ client, target }) => {
      client.resetAndDestroy();
      target.resetAndDestroy();
    });
  }

  /** Forwards data in both directions without delay, except on connections stalled for good. */
  restore(): void {
    this.dropsRequests = false;
    this.dropsResponses = false;
    this.delayMs = 0;
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
    const { host, port } = this.target;
    const target = connect({ host, port, allowHalfOpen: true });
    const connection = { client, target, isStalled: false };
    this.connections.add(connection);
    this.forward(connection, client, target, () => this.dropsRequests);
    this.forward(connection, target, client, () => this.dropsResponses);
  }

  /** Forwards data, the end and the reset of one direction, each after the delay. */
  private forward(
    connection: Connection,
    from: Socket,
    to: Socket,
    isDropping: () => boolean,
  ): void {
    let queue: Promise<void> = Promise.resolve();
    const forwardLater = (run: () => void): void => {
      const sentAt = performance.now() + this.delayMs;
      queue = queue.then(async () => {
        const remainingMs = sentAt - performance.now();
        if (remainingMs > 0) await sleep(remainingMs);
        run();
      });
    };
    from.on('data', (chunk) => {
      if (isDropping() || connection.isStalled) return;
      this.forwardedBytes += chunk.length;
      forwardLater(() => to.write(chunk));
    });
    from.on('end', () => forwardLater(() => to.end()));
    from.on('error', () => forwardLater(() => to.resetAndDestroy()));
    from.on('close', () => {
      this.connections.delete(connection);
      // Without both ends received, the close is local or follows an error.
      if (!from.readableEnded) forwardLater(() => to.destroy());
    });
  }
}
