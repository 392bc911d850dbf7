import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Connection } from './Connection.js';
import type { ConnectionTable } from './ConnectionTable.js';
import type { TurnQueue } from './TurnQueue.js';

/** Options of a {@link SocketGate}. */
export interface SocketGateOptions {
  socket: Socket;
  connection: Connection;
  table: ConnectionTable;
  /** Shared by all connections of the server. */
  turns: TurnQueue;
  /** Parses bytes as HTTP. */
  parse: (bytes: Buffer) => void;
  onClosing: () => void;
}

/** Marks the end of a head; the parser accepts no other one. */
const HEAD_END = '\r\n\r\n';
/**
 * Bytes that are parsed at least before the limits are checked again. Bounds the checks for a body
 * full of such marks; the shortest head has 18 bytes.
 */
const MIN_SLICE_BYTES = 128;
/** Bytes of one connection that are parsed at a turn of the event loop. */
const MAX_TURN_BYTES = 16 * 1024;

/**
 * Passes what a client sends on to the parser, one head at a time, and holds the rest back while too
 * many requests of the connection wait. The parser itself would parse all that one read delivers.
 */
export class SocketGate {
  private lastRequest: IncomingMessage | undefined;

  /** True while the connection waits for another turn of the event loop. */
  private isWaitingForTurn = false;

  private isPausing = false;

  private readonly takeTurn = (): void => this.resume();

  /** True if the server has paused the socket; it resumes it on its own. */
  private isPausedByServer = false;

  constructor(private readonly options: SocketGateOptions) {
    const { socket } = options;
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('pause', () => {
      if (!this.isPausing) this.isPausedByServer = true;
    });
    socket.on('resume', () => {
      this.isPausedByServer = false;
      // The server also resumes the socket for the body of a request that waits.
      if (this.isBlocked) this.pause();
    });
  }

  /** True if the connection ends after the responses to the requests parsed so far. */
  get isClosing(): boolean {
    return this.options.connection.isClosing;
  }

  beginRequest(request: IncomingMessage): void {
    this.lastRequest = request;
    this.options.table.beginRequest(this.options.connection);
  }

  endRequest(): void {
    const { connection, table } = this.options;
    table.endRequest(connection, performance.now());
    if (connection.isClosing && connection.openRequests === 0) this.options.onClosing();
    if (connection.isHeld && table.mayParse(connection)) this.waitForTurn();
  }

  private get isBlocked(): boolean {
    const { connection } = this.options;
    return connection.isHeld || connection.isClosing || this.isWaitingForTurn;
  }

  private waitForTurn(): void {
    this.isWaitingForTurn = true;
    this.options.turns.add(this.takeTurn);
  }

  private resume(): void {
    const { socket, connection, table } = this.options;
    this.isWaitingForTurn = false;
    if (socket.destroyed || connection.isClosing) return;
    if (!table.mayParse(connection)) {
      table.hold(connection);
      return;
    }
    table.release(connection);
    if (!this.isPausedByServer) socket.resume();
  }

  private receive(chunk: Buffer): void {
    const { socket, connection, table } = this.options;
    let start = 0;
    while (start < chunk.length && !socket.destroyed) {
      // The parser fails if it gets bytes while the server has paused it.
      if (socket.isPaused()) {
        socket.unshift(chunk.subarray(start));
        return;
      }
      if (!table.mayParse(connection)) {
        this.holdBack(chunk.subarray(start));
        return;
      }
      if (start >= MAX_TURN_BYTES) {
        this.pause();
        socket.unshift(chunk.subarray(start));
        this.waitForTurn();
        return;
      }
      const end = getSliceEnd(chunk, start);
      this.parse(start === 0 && end === chunk.length ? chunk : chunk.subarray(start, end));
      start = end;
    }
  }

  private parse(bytes: Buffer): void {
    const { lastRequest } = this;
    const isBody = lastRequest !== undefined && !lastRequest.complete;
    this.options.parse(bytes);
    if (this.lastRequest !== lastRequest) return;
    const { connection, table } = this.options;
    if (!isBody) connection.receiveHead(performance.now());
    else if (connection.openRequests === 0) table.drain(connection, bytes.length);
  }

  private holdBack(bytes: Buffer): void {
    const { socket, connection, table, onClosing } = this.options;
    const isKept = table.hold(connection);
    this.pause();
    if (isKept) socket.unshift(bytes);
    else if (connection.openRequests === 0) onClosing();
  }

  private pause(): void {
    this.isPausing = true;
    this.options.socket.pause();
    this.isPausing = false;
  }
}

/** Gets the end of a part of a chunk that ends with the end of a head, or with the chunk. */
function getSliceEnd(chunk: Buffer, start: number): number {
  const from = start + MIN_SLICE_BYTES - HEAD_END.length;
  if (from >= chunk.length) return chunk.length;
  const position = chunk.indexOf(HEAD_END, from, 'latin1');
  const end = position === -1 ? chunk.length : position + HEAD_END.length;
  return Math.min(end, start + MAX_TURN_BYTES);
}
