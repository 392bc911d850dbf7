import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CloseReason } from './Connection.js';
import { ConnectionTable } from './ConnectionTable.js';
import type { ConnectionLimits, RefusalReason } from './ConnectionTable.js';
import { IngressStatistics } from './IngressStatistics.js';
import type { IngressCounts } from './IngressStatistics.js';
import { createResponseType } from './createResponseType.js';
import { SocketGate } from './SocketGate.js';
import { TurnQueue } from './TurnQueue.js';

/** Options of an {@link Ingress}. */
export interface IngressOptions {
  limits: ConnectionLimits;
  /** Called at intervals with what was refused or closed since the last call, if anything was. */
  onSummary?: (counts: IngressCounts) => void;
  sweepIntervalMs?: number;
}

/** Options of an HTTP server that is protected by an ingress. */
export interface ProtectedServerOptions {
  ServerResponse: typeof ServerResponse;
}

const SWEEP_INTERVAL_MS = 1000;
const SUMMARY_INTERVAL_MS = 5000;
/** Refused connections that may wait until the client has closed them. */
const MAX_LINGERING = 16;
const RETRY_AFTER_SECONDS = 1;
const REFUSAL = `HTTP/1.1 503 Service Unavailable\r\nRetry-After: ${RETRY_AFTER_SECONDS}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
const HEAD_TIMEOUT =
  'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** Keeps the clients of an HTTP server within limits on connections, descriptors and memory. */
export class Ingress {
  readonly statistics = new IngressStatistics();

  readonly table: ConnectionTable;

  private readonly turns = new TurnQueue();

  private readonly gates = new WeakMap<Socket, SocketGate>();

  /** Connections that have been answered and are closed at the next sweep but one. */
  private lingering = new Set<Socket>();

  private overdue = new Set<Socket>();

  private sweptAt = performance.now();

  private summarizedAt = performance.now();

  constructor(private readonly options: IngressOptions) {
    this.table = new ConnectionTable(options.limits);
  }

  /** Gets options for the server, which let the ingress see each request that is parsed. */
  get serverOptions(): ProtectedServerOptions {
    return {
      ServerResponse: createResponseType((request, response) => {
        const gate = this.gates.get(request.socket);
        gate?.beginRequest(request);
        response.once('close', () => gate?.endRequest());
      }),
    };
  }

  /**
   * Protects a server, which must have been created with `serverOptions`.
   * @param event - The event with the sockets that the server parses, `secureConnection` for HTTPS.
   */
  protect(server: Server, event: 'connection' | 'secureConnection' = 'connection'): void {
    server.on(event, (socket: Socket) => this.accept(socket));
    const timer = setInterval(
      () => this.sweep(performance.now()),
      this.options.sweepIntervalMs ?? SWEEP_INTERVAL_MS,
    ).unref();
    server.once('close', () => clearInterval(timer));
  }

  /** Returns whether a connection ends after the responses to the requests parsed so far. */
  isClosing(socket: Socket): boolean {
    return this.gates.get(socket)?.isClosing ?? false;
  }

  private accept(socket: Socket): void {
    const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[];
    if (!parse) return;
    socket.removeListener('data', parse);
    const admission = this.table.open({
      address: socket.remoteAddress ?? '',
      now: performance.now(),
      close: (reason) => this.close(socket, reason),
      getProgress: () => getProgress(socket),
    });
    if ('refusal' in admission) {
      this.refuse(socket, admission.refusal);
      return;
    }
    const { connection } = admission;
    const gate = new SocketGate({
      socket,
      connection,
      table: this.table,
      turns: this.turns,
      parse: (bytes) => parse.call(socket, bytes),
      onClosing: () => this.close(socket, 'ahead'),
    });
    this.gates.set(socket, gate);
    socket.once('close', () => this.table.remove(connection));
  }

  private refuse(socket: Socket, reason: RefusalReason): void {
    this.statistics.recordRefusal(reason);
    this.answer(socket, REFUSAL);
  }

  private close(socket: Socket, reason: CloseReason): void {
    this.statistics.recordClose(reason);
    if (reason === 'head') this.answer(socket, HEAD_TIMEOUT);
    else if (reason === 'ahead') socket.destroySoon();
    else socket.destroy();
  }

  /** Sends a response and discards what arrives until the client closes the connection, or a sweep. */
  private answer(socket: Socket, response: string): void {
    socket.removeAllListeners('data');
    if (this.lingering.size >= MAX_LINGERING) {
      socket.destroy();
      return;
    }
    this.lingering.add(socket);
    socket.once('close', () => this.lingering.delete(socket));
    socket.on('data', () => undefined);
    socket.end(response);
  }

  private sweep(now: number): void {
    this.overdue.forEach((socket) => socket.destroy());
    this.overdue = this.lingering;
    this.lingering = new Set();
    const sweepIntervalMs = this.options.sweepIntervalMs ?? SWEEP_INTERVAL_MS;
    // After a pause of the process, what has arrived meanwhile is read first.
    const wasPaused = now - this.sweptAt > 2 * sweepIntervalMs;
    this.sweptAt = now;
    if (!wasPaused) this.table.closeExpired(now);
    if (now - this.summarizedAt < SUMMARY_INTERVAL_MS) return;
    const counts = this.statistics.takeRecent();
    if (!counts) return;
    this.summarizedAt = now;
    this.options.onSummary?.(counts);
  }
}

/** Gets how much of what was written to a socket the network has taken over. */
function getProgress(socket: Socket): { takenBytes: number; waitingBytes: number } {
  const waitingBytes = socket.writableLength;
  if (waitingBytes === 0) return { takenBytes: socket.bytesWritten, waitingBytes };
  // A large chunk counts as waiting until all of it is taken over; the handle knows the rest of it.
  const { _handle: handle } = socket as unknown as { _handle?: { writeQueueSize: number } | null };
  return { takenBytes: socket.bytesWritten - (handle?.writeQueueSize ?? 0), waitingBytes };
}
