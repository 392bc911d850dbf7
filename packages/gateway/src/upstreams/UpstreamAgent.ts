import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** Idle connections kept to one upstream. */
const MAX_IDLE = 3;
/** Milliseconds after which an idle connection is closed by this side. */
const IDLE_MS = 4000;

/** Keeps connections to upstreams. Bytes on an idle connection belong to no request and end it. */
export class UpstreamAgent extends Agent {
  constructor() {
    super({ keepAlive: true, maxFreeSockets: MAX_IDLE, timeout: IDLE_MS, scheduling: 'lifo' });
  }

  override keepSocketAlive(socket: Socket): boolean {
    // @ts-expect-error -- The type definitions leave out this documented hook of the agent.
    const isKept = super.keepSocketAlive(socket) as boolean;
    if (isKept) socket.once('data', destroySocket);
    return isKept;
  }

  override reuseSocket(socket: Duplex, request: unknown): void {
    socket.removeListener('data', destroySocket);
    // @ts-expect-error -- The type definitions leave out this documented hook of the agent.
    super.reuseSocket(socket, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
