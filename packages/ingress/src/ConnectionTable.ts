import { Connection } from './Connection.js';
import type { CloseReason, ConnectionOptions } from './Connection.js';

/** Limits of a {@link ConnectionTable}. */
export interface ConnectionLimits {
  maxConnections: number;
  /** Descriptors for the connections of clients and for those that serve their requests. */
  maxDescriptors: number;
  /** Requests of all connections together that may wait behind others on their connections. */
  maxAheadTotal: number;
  /** Connections from which bytes may be held back at the same time. */
  maxHeld: number;
  /** Requests of one connection that may wait behind the one being served. */
  maxAhead?: number;
  /** Share of the connections that the clients of one address may have. */
  addressShare?: number;
  /** Share of the connections that may wait for their first request. */
  silentShare?: number;
  /** Milliseconds for which a reader may take nothing of a response. */
  readerTimeoutMs?: number;
  /** Gets the milliseconds in which a head must arrive; undefined for no limit. */
  getHeadTimeoutMs?: () => number | undefined;
  /** Gets the milliseconds for which a connection may be idle; undefined for no limit. */
  getIdleTimeoutMs?: () => number | undefined;
  /** Gets how many bytes of a request that has been answered already may still be received. */
  getMaxDrainBytes?: () => number;
  /** Gets the number of descriptors that serve requests, such as connections to upstreams. */
  getServingDescriptors?: () => number;
}

/** Why a new connection is refused: there are too many, or too many of its address. */
export type RefusalReason = 'connections' | 'address';

/** A new connection, or why it is refused. */
export type Admission = { connection: Connection } | { refusal: RefusalReason };

const MAX_AHEAD = 4;
const ADDRESS_SHARE = 0.9;
const SILENT_SHARE = 0.5;
/** Allows for slow readers: the network may take bytes only after it has delivered a megabyte. */
const READER_TIMEOUT_MS = 60_000;
const MAX_DRAIN_BYTES = 1024 * 1024;

/**
 * Decides which connections are accepted, read and closed. The oldest idle connection makes room for
 * a new one; a connection with an open request is closed only if its reader is stuck.
 */
export class ConnectionTable {
  private readonly limits;

  private readonly connections = new Set<Connection>();

  /** Connections without an open request, in the order in which they became idle. */
  private readonly idle = new Set<Connection>();

  /** Connections that have not sent a request, in the order in which they were accepted. */
  private readonly silent = new Set<Connection>();

  private readonly addressCounts = new Map<string, number>();

  private aheadTotal = 0;

  private heldTotal = 0;

  constructor(limits: ConnectionLimits) {
    this.limits = {
      maxAhead: MAX_AHEAD,
      addressShare: ADDRESS_SHARE,
      silentShare: SILENT_SHARE,
      readerTimeoutMs: READER_TIMEOUT_MS,
      getHeadTimeoutMs: () => undefined,
      getIdleTimeoutMs: () => undefined,
      getMaxDrainBytes: () => MAX_DRAIN_BYTES,
      getServingDescriptors: () => 0,
      ...limits,
    };
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  get idleCount(): number {
    return this.idle.size;
  }

  /** Number of connections that have not sent a request. */
  get silentCount(): number {
    return this.silent.size;
  }

  /** Number of requests that wait behind others on their connections. */
  get aheadCount(): number {
    return this.aheadTotal;
  }

  /** Number of connections from which bytes are held back. */
  get heldCount(): number {
    return this.heldTotal;
  }

  /** Descriptors that are open or set aside; each request in service may need one of its own. */
  get descriptorCount(): number {
    const inService = this.connections.size - this.idle.size;
    return this.connections.size + Math.max(inService, this.limits.getServingDescriptors());
  }

  /** Adds a connection; closes the oldest idle one if there is no room. */
  open(options: ConnectionOptions): Admission {
    const { address } = options;
    const { maxConnections, addressShare, silentShare } = this.limits;
    if (this.getAddressCount(address) >= Math.floor(maxConnections * addressShare)) {
      if (!this.evict(this.findIdle(address))) return { refusal: 'address' };
    }
    if (this.silent.size >= Math.floor(maxConnections * silentShare))
      this.evict(first(this.silent));
    while (this.isFull(1)) if (!this.evict(first(this.idle))) return { refusal: 'connections' };
    const connection = new Connection(options);
    this.connections.add(connection);
    this.idle.add(connection);
    this.silent.add(connection);
    this.addressCounts.set(address, this.getAddressCount(address) + 1);
    return { connection };
  }

  /** Removes a connection that has been closed. */
  remove(connection: Connection): void {
    if (!this.connections.delete(connection)) return;
    this.idle.delete(connection);
    this.silent.delete(connection);
    this.release(connection);
    this.aheadTotal -= connection.requestsAhead;
    const count = this.getAddressCount(connection.address) - 1;
    if (count > 0) this.addressCounts.set(connection.address, count);
    else this.addressCounts.delete(connection.address);
  }

  /** Records that a request has been parsed. */
  beginRequest(connection: Connection): void {
    if (!this.connections.has(connection)) return;
    this.aheadTotal -= connection.requestsAhead;
    connection.beginRequest();
    this.aheadTotal += connection.requestsAhead;
    this.silent.delete(connection);
    this.idle.delete(connection);
    while (this.isFull(0) && this.evict(first(this.idle)));
  }

  /** Records that a response has ended. */
  endRequest(connection: Connection, now: number): void {
    if (!this.connections.has(connection)) return;
    this.aheadTotal -= connection.requestsAhead;
    connection.endRequest(now);
    this.aheadTotal += connection.requestsAhead;
    if (connection.openRequests === 0) this.idle.add(connection);
  }

  /** Returns whether further requests of a connection may be parsed. */
  mayParse(connection: Connection): boolean {
    if (connection.isClosing) return false;
    const { maxAhead, maxAheadTotal } = this.limits;
    // The body of the request in service may still have to be parsed.
    return connection.requestsAhead < (this.aheadTotal < maxAheadTotal ? maxAhead : 1);
  }

  /**
   * Holds the bytes of a connection back from the parser.
   * @returns False if there are too many such connections; this one then ends after the responses to
   * the requests parsed so far, and its bytes need not be kept.
   */
  hold(connection: Connection): boolean {
    if (connection.isClosing) return false;
    if (connection.isHeld) return true;
    if (this.heldTotal >= this.limits.maxHeld) {
      connection.endAfterResponses();
      return false;
    }
    connection.hold();
    this.heldTotal += 1;
    return true;
  }

  release(connection: Connection): void {
    if (!connection.isHeld) return;
    connection.release();
    this.heldTotal -= 1;
  }

  /** Records bytes of a request that has been answered already; closes the connection if too many. */
  drain(connection: Connection, byteCount: number): void {
    connection.recordDrain(byteCount);
    if (connection.drained > this.limits.getMaxDrainBytes()) this.close(connection, 'drain');
  }

  /** Closes the connections that have exceeded a time limit. */
  closeExpired(now: number): void {
    const { readerTimeoutMs, getHeadTimeoutMs, getIdleTimeoutMs } = this.limits;
    const headTimeoutMs = getHeadTimeoutMs() ?? Infinity;
    const idleTimeoutMs = getIdleTimeoutMs() ?? Infinity;
    for (const connection of this.connections) {
      const isIdle = this.idle.has(connection);
      if (connection.getStuckMs(now) >= readerTimeoutMs) this.close(connection, 'reader');
      else if (isIdle && connection.getHeadMs(now) >= headTimeoutMs) this.close(connection, 'head');
      else if (isIdle && connection.getIdleMs(now) >= idleTimeoutMs) this.close(connection, 'idle');
    }
  }

  private isFull(additionalCount: number): boolean {
    const { maxConnections, maxDescriptors } = this.limits;
    return (
      this.connections.size + additionalCount > maxConnections ||
      this.descriptorCount + additionalCount > maxDescriptors
    );
  }

  private findIdle(address: string): Connection | undefined {
    for (const connection of this.idle) if (connection.address === address) return connection;
    return undefined;
  }

  private evict(connection: Connection | undefined): boolean {
    if (!connection) return false;
    this.close(connection, 'evicted');
    return true;
  }

  private close(connection: Connection, reason: CloseReason): void {
    this.remove(connection);
    connection.close(reason);
  }

  private getAddressCount(address: string): number {
    return this.addressCounts.get(address) ?? 0;
  }
}

function first<T>(set: Set<T>): T | undefined {
  return set.values().next().value;
}
