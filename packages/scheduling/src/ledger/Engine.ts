import { LedgerError } from './LedgerError.js';
import type { Reservation } from './Reservation.js';

/** Published capacity of an engine. */
export interface EngineCapacity {
  /** Capacity of the key-value cache in tokens. */
  kvTokens: number;
  /** Maximum number of requests in a batch. */
  maxBatch: number;
  prefillTokensPerSecond: number;
  /** Duration of a decode step in milliseconds. */
  decodeStepMs: number;
}

/** Load reported by an engine. */
export interface LoadReport {
  /** Monotonic time of the measurement, in milliseconds. */
  measuredAt: number;
  /** Prompt tokens not prefilled yet, including those of running requests. */
  queuedTokens: number;
}

export interface EngineOptions {
  id: string;
  address: string;
  capacity: EngineCapacity;
}

/**
 * A short prompt is assumed to be prefilled after this multiple of its prefill time on an idle
 * engine, plus the report lag.
 */
const PREFILL_TIME_FACTOR = 3;
const REPORT_LAG_MS = 200;

/** An engine and the memory reserved on it. */
export class Engine {
  readonly id: string;

  address: string;

  capacity: EngineCapacity;

  /** Names of the models that the engine serves. */
  models = new Set<string>();

  /** True when the engine accepts new work. */
  isReady = false;

  /** Monotonic time until which the engine, while not ready, is expected to become ready. */
  expectedUntil = -Infinity;

  report: LoadReport | undefined;

  /** Hashes of the prefixes that are assumed to be in the engine's cache. */
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

  /** Number of requests that the engine serves, not counting those it only holds memory for. */
  get runningCount(): number {
    return this.getReservations().filter((reservation) => reservation.leads).length;
  }

  /** Returns true when the engine serves a model now or is expected to do so soon. */
  mayServe(model: string, now: number): boolean {
    if (this.isReady) return this.models.has(model);
    const mayHaveModel = this.models.size === 0 || this.models.has(model);
    return mayHaveModel && now < this.expectedUntil;
  }

  getReservations(): Reservation[] {
    return [...this.reservations.values()];
  }

  getReservation(request: string): Reservation | undefined {
    return this.reservations.get(request);
  }

  /**
   * Reserves memory.
   * @throws LedgerError when the request already has a reservation or the free memory is too small.
   */
  addReservation(reservation: Reservation): void {
    if (this.reservations.has(reservation.request)) {
      throw new LedgerError(
        `request ${reservation.request} already has a reservation on engine ${this.id}`,
      );
    }
    if (reservation.tokens > this.freeTokens) {
      throw new LedgerError(
        `engine ${this.id} has ${this.freeTokens} free tokens, ${reservation.tokens} needed`,
      );
    }
    this.insertReservation(reservation);
  }

  /**
   * Adds a reservation found in the engine's reported state, even beyond its capacity. An existing
   * reservation of the request is kept unchanged.
   */
  adoptReservation(reservation: Reservation): void {
    if (!this.reservations.has(reservation.request)) this.insertReservation(reservation);
  }

  /** Releases the reservation of a request; returns false when there is none. */
  removeReservation(request: string): boolean {
    const reservation = this.reservations.get(request);
    if (!reservation) return false;
    this.reservations.delete(request);
    this.reservedTokens -= reservation.tokens;
    return true;
  }

  /**
   * Estimates how long a prompt of the given engine priority waits for prefills ahead of it, in
   * milliseconds.
   * @remarks Grants made since the last report are added to the reported queue, each starting no
   * earlier than its grant time: an engine that was idle before a grant cannot have begun it.
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

  /** Returns true while a request's prompt is assumed not to be fully prefilled. */
  isPrefilling(reservation: Reservation, now: number): boolean {
    if (!reservation.leads || reservation.isDecoding) return false;
    if (reservation.isLong) return true;
    const aloneMs = this.getPrefillMs(reservation.prefillTokens);
    return now - reservation.grantedAt < aloneMs * PREFILL_TIME_FACTOR + REPORT_LAG_MS;
  }

  private getPrefillMs(tokens: number): number {
    return (tokens / this.capacity.prefillTokensPerSecond) * 1000;
  }

  private isReported(reservation: Reservation): boolean {
    return this.report !== undefined && reservation.grantedAt < this.report.measuredAt;
  }

  /**
   * Estimates the tokens of the reported queue that belong to the reservations in `ahead`. The queue
   * is split among the reported reservations in `prefilling` in proportion to their prompt tokens;
   * the result is at most the prompt tokens of the reported reservations in `ahead`.
   */
  private getReportedTokens(prefilling: Reservation[], ahead: Reservation[]): number {
    const all = sumPrefillTokens(prefilling.filter((other) => this.isReported(other)));
    if (all === 0) return 0;
    const part = sumPrefillTokens(ahead.filter((other) => this.isReported(other)));
    return Math.min((this.report?.queuedTokens ?? 0) * (part / all), part);
  }

  private insertReservation(reservation: Reservation): void {
    this.reservations.set(reservation.request, reservation);
    this.reservedTokens += reservation.tokens;
  }
}

function sumPrefillTokens(reservations: Reservation[]): number {
  return reservations.reduce((sum, { prefillTokens }) => sum + prefillTokens, 0);
}
