import { LedgerFault } from './LedgerFault.js';
import type { Reservation } from './Reservation.js';

/** What an engine can do. */
export interface EngineCapacity {
  kvTokens: number;
  maxBatch: number;
  prefillTokensPerSecond: number;
  decodeStepMs: number;
}

/** Load as the engine reported it. */
export interface LoadReport {
  /** Monotonic time of the measurement. */
  measuredAt: number;
  queuedTokens: number;
}

/** What an engine is made of. */
export interface EngineOptions {
  id: string;
  address: string;
  capacity: EngineCapacity;
}

/** A short prompt counts as processed after this many times its time alone. */
const PREFILL_PATIENCE = 3;
const REPORT_LAG_MS = 200;

/** One engine with the exact memory it has given away. */
export class Engine {
  readonly id: string;

  address: string;

  capacity: EngineCapacity;

  /** Models that the engine has loaded. */
  models = new Set<string>();

  /** True when new work may be granted on the engine. */
  isReady = false;

  report: LoadReport | undefined;

  /** Hashes of the prefixes that the engine is believed to hold. */
  readonly prefixes = new Set<string>();

  reservedTokens = 0;

  private readonly reservations = new Map<string, Reservation>();

  constructor(options: EngineOptions) {
    this.id = options.id;
    this.address = options.address;
    this.capacity = options.capacity;
  }

  get freeTokens(): number {
    return this.capacity.kvTokens - this.reservedTokens;
  }

  /** Gets the number of requests that the engine processes. */
  get running(): number {
    return this.getReservations().filter((reservation) => reservation.leads).length;
  }

  getReservations(): Reservation[] {
    return [...this.reservations.values()];
  }

  getReservation(request: string): Reservation | undefined {
    return this.reservations.get(request);
  }

  /**
   * Reserves memory.
   * @throws LedgerFault when the request holds some already, or there is too little.
   */
  addReservation(reservation: Reservation): void {
    if (this.reservations.has(reservation.request)) {
      throw new LedgerFault(`${reservation.request} holds memory on ${this.id} already`);
    }
    if (reservation.tokens > this.freeTokens) {
      throw new LedgerFault(`${this.id} has ${this.freeTokens}, not ${reservation.tokens} tokens`);
    }
    this.insert(reservation);
  }

  /** Takes over a reservation that the engine itself reports, even beyond its capacity. */
  adoptReservation(reservation: Reservation): void {
    if (!this.reservations.has(reservation.request)) this.insert(reservation);
  }

  /** Gives memory back; gets false when the request held none. */
  removeReservation(request: string): boolean {
    const reservation = this.reservations.get(request);
    if (!reservation) return false;
    this.reservations.delete(request);
    this.reservedTokens -= reservation.tokens;
    return true;
  }

  /**
   * Gets how long a prompt of an engine priority waits for others, in milliseconds.
   * @remarks What was granted since the last report is added to it, each grant from its own time
   * on, so that idle time between two grants does not count as work done.
   */
  getBacklogMs(enginePriority: number, now: number): number {
    const prefilling = this.getReservations().filter((other) => this.isPrefilling(other, now));
    const ahead = prefilling.filter((other) => other.enginePriority <= enginePriority);
    const reportedMs = this.getPrefillMs(this.getReportedTokens(prefilling, ahead));
    let busyUntil = (this.report?.measuredAt ?? -Infinity) + reportedMs;
    for (const reservation of ahead.filter((other) => !this.isReported(other))) {
      const startsAt = Math.max(busyUntil, reservation.grantedAt);
      busyUntil = startsAt + this.getPrefillMs(reservation.prefillTokens);
    }
    return Math.max(busyUntil - now, 0);
  }

  /** Tells whether a request's prompt is believed not to be processed yet. */
  isPrefilling(reservation: Reservation, now: number): boolean {
    if (!reservation.leads || reservation.isDecoding) return false;
    if (reservation.isLong) return true;
    const aloneMs = this.getPrefillMs(reservation.prefillTokens);
    return now - reservation.grantedAt < aloneMs * PREFILL_PATIENCE + REPORT_LAG_MS;
  }

  private getPrefillMs(tokens: number): number {
    return (tokens / this.capacity.prefillTokensPerSecond) * 1000;
  }

  private isReported(reservation: Reservation): boolean {
    return this.report !== undefined && reservation.grantedAt < this.report.measuredAt;
  }

  /** Gets the part of the reported queue that belongs to the prompts ahead. */
  private getReportedTokens(prefilling: Reservation[], ahead: Reservation[]): number {
    const all = sumPrefill(prefilling.filter((other) => this.isReported(other)));
    if (all === 0) return 0;
    const part = sumPrefill(ahead.filter((other) => this.isReported(other)));
    return Math.min((this.report?.queuedTokens ?? 0) * (part / all), part);
  }

  private insert(reservation: Reservation): void {
    this.reservations.set(reservation.request, reservation);
    this.reservedTokens += reservation.tokens;
  }
}

function sumPrefill(reservations: Reservation[]): number {
  return reservations.reduce((sum, { prefillTokens }) => sum + prefillTokens, 0);
}
