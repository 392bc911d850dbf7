import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** What the clients of a crowd send on each connection; none of them reads an answer. */
export interface CrowdBehaviour {
  /** Text sent once a connection is open. */
  head?: string;
  /** Text that is repeated as fast as the server reads it. */
  flood?: string;
  /** Text that is repeated at an interval. */
  drip?: string;
}

/** Options of a {@link Crowd}. */
export interface CrowdOptions {
  /** Address of the server as `host:port`. */
  address: string;
  connections: number;
  behaviour: CrowdBehaviour;
}

const DRIP_INTERVAL_MS = 100;
const RECONNECT_DELAY_MS = 100;
const FLOOD_BLOCK_BYTES = 64 * 1024;

/** Clients that break the limits; a connection that the server closes is opened again. */
export class Crowd {
  private readonly sockets = new Set<Socket>();

  private isSending = false;

  constructor(private readonly options: CrowdOptions) {}

  start(): void {
    this.isSending = true;
    for (let index = 0; index < this.options.connections; index += 1) this.open();
  }

  /** Sends nothing further, but keeps the connections. */
  pause(): void {
    this.isSending = false;
  }

  stop(): void {
    this.isSending = false;
    this.sockets.forEach((socket) => socket.destroy());
  }

  private open(): void {
    const { address, behaviour } = this.options;
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('end', () => socket.destroy());
    socket.once('close', () => {
      this.sockets.delete(socket);
      setTimeout(() => this.isSending && this.open(), RECONNECT_DELAY_MS);
    });
    socket.once('connect', () => {
      if (behaviour.head) socket.write(behaviour.head);
      if (behaviour.flood) this.flood(socket, behaviour.flood);
      if (behaviour.drip)
        this.drip(socket, behaviour.drip).catch((error: unknown) =>
          socket.destroy(error instanceof Error ? error : undefined),
        );
    });
  }

  private flood(socket: Socket, text: string): void {
    const block = text.repeat(Math.ceil(FLOOD_BLOCK_BYTES / text.length));
    const send = (): void => {
      if (this.isSending && socket.writable) socket.write(block, send);
    };
    send();
  }

  private async drip(socket: Socket, text: string): Promise<void> {
    while (this.isSending && socket.writable) {
      socket.write(text);
      await sleep(DRIP_INTERVAL_MS);
    }
  }
}
