import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** Maximum number of idle connections kept open to one upstream. */
const MAX_IDLE_CONNECTIONS = 3;
/** Milliseconds after which this side closes an idle connection. */
const IDLE_TIMEOUT_MS = 4000;

/**
 * Keep-alive agent for connections to upstreams.
 * @remarks Data that arrives on an idle connection belongs to no request, so the connection is
 * destroyed instead of being reused.
 */
export class UpstreamAgent extends Agent {
  private openCount = 0;

  /** Number of open connections. */
  get connectionCount(): number {
    return this.openCount;
  }

  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      timeout: IDLE_TIMEOUT_MS,
      scheduling: 'lifo',
    });
  }

  override createConnection(...parameters: unknown[]): Socket {
    // @ts-expect-error -- As above.
    const socket = super.createConnection(...parameters) as Socket;
    this.openCount += 1;
    socket.once('close', () => {
      this.openCount -= 1;
    });
    return socket;
  }

  override keepSocketAlive(socket: Socket): boolean {
    // @ts-expect-error -- The type definitions lack this documented method of the agent.
    const isKept = super.keepSocketAlive(socket) as boolean;
    if (isKept) socket.once('data', destroySocket);
    return isKept;
  }

  override reuseSocket(socket: Duplex, request: unknown): void {
    socket.removeListener('data', destroySocket);
    // @ts-expect-error -- The type definitions lack this documented method of the agent.
    super.reuseSocket(socket, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
