import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { NO_ENGINE_REFUSAL } from '../admission/index.js';
import type { AdmissionPolicy, Refusal } from '../admission/index.js';
import type { CapacityEstimator } from '../capacity/index.js';
import type { Engine, Ledger, Reservation } from '../ledger/index.js';
import type { PlacementResult, PlacementPolicy } from '../placement/index.js';
import type { QueueCandidate, WorkQueue } from '../queue/index.js';
import type { WorkItem } from '../workload/index.js';
import { findVictims } from './findVictims.js';

/** A work item and the engine memory reserved for it. */
export interface Grant {
  work: WorkItem;
  placement: PlacementResult;
  queuedMs: number;
}

/** A work item that was removed from the queue and why. */
export interface RefusedWork extends Refusal {
  work: WorkItem;
}

export interface SchedulerOptions {
  ledger: Ledger;
  queue: WorkQueue;
  admission: AdmissionPolicy;
  placement: PlacementPolicy;
  /** Time in milliseconds within which a granted work item must start. */
  startWithinMs: number;
  /** True when urgent work that fits on no engine may preempt batch work, which pauses it. */
  isPreemptive: boolean;
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  /** Learns how fast engines are from the first tokens of their requests. */
  capacity?: CapacityEstimator;
}

/** A reservation to preempt and the engine that runs it. */
export interface Victim {
  engine: Engine;
  reservation: Reservation;
}

/** Maximum number of candidates per priority that are tried in one placement. */
const CANDIDATE_LIMIT = 8;
/** Milliseconds that urgent work waits for free memory before batch work is preempted. */
const PREEMPTION_DELAY_MS = 30;
const EXPIRED_REFUSAL: Refusal = { reason: 'expired', retryAfterMs: 0 };

/** Assigns engine memory to work items. Its caller must be the only writer of the ledger. */
export class Scheduler {
  /** Session that submitted each queued work item. */
  private readonly sessions = new Map<string, string>();

  constructor(private readonly options: SchedulerOptions) {}

  /**
   * Queues a work item or refuses it. Resumed work items skip admission and are refused only when no
   * engine can serve them.
   */
  submit(work: WorkItem, session: string): Result<WorkItem, Refusal> {
    const { admission, queue, ledger, now } = this.options;
    const request = { work, queue, ledger, now: now() };
    const refusal = work.isResumed ? this.getServiceRefusal(work) : admission.getRefusal(request);
    if (refusal) return Err(refusal);
    this.sessions.set(work.id, session);
    queue.add(work);
    return Ok(work);
  }

  /** Removes a queued work item; returns false when it is not queued. */
  cancel(id: string): boolean {
    this.sessions.delete(id);
    this.options.placement.forget(id);
    return this.options.queue.remove(id);
  }

  /** Places queued work items until none fits any more. */
  dispatch(): Grant[] {
    const grants: Grant[] = [];
    for (let grant = this.placeNext(); grant; grant = this.placeNext()) grants.push(grant);
    return grants;
  }

  /**
   * Removes the queued work items that are past their deadline or queue limit, and those that no
   * engine can serve any more.
   */
  expire(): RefusedWork[] {
    const { queue, now } = this.options;
    const refused = queue.getAll().flatMap((work) => {
      const refusal = isExpired(work, now()) ? EXPIRED_REFUSAL : this.getServiceRefusal(work);
      return refusal ? [{ work, ...refusal }] : [];
    });
    refused.forEach(({ work }) => this.cancel(work.id));
    return refused;
  }

  /**
   * Gets the batch reservations to pause so that the first urgent candidate of the queue fits, once
   * it has waited for `PREEMPTION_DELAY_MS`.
   */
  findVictims(): Victim[] {
    const { queue, ledger, now, isPreemptive } = this.options;
    if (!isPreemptive) return [];
    const [first] = queue.getCandidates(1).filter(({ work }) => work.priority === 'urgent');
    if (!first || now() - first.work.arrivedAt < PREEMPTION_DELAY_MS) return [];
    return findVictims(first.work, ledger);
  }

  /** Records that a request's prompt has been processed and decoding has begun. */
  markDecoding(request: string): void {
    const engines = this.options.ledger.getHoldingEngines(request);
    for (const engine of engines) {
      const reservation = engine.getReservation(request);
      if (!reservation) continue;
      // The slowest of several engines decides, which is not known.
      if (engines.length === 1 && !reservation.isDecoding) this.recordTime(engine, reservation);
      reservation.isDecoding = true;
    }
  }

  /** Estimates the wait in the queue, in milliseconds, of a work item that arrives now. */
  getWaitMs(work: WorkItem): number {
    const { admission, queue, ledger, now } = this.options;
    return admission.getWaitMs({ work, queue, ledger, now: now() });
  }

  private recordTime(engine: Engine, { expectedMs, grantedAt, isLong }: Reservation): void {
    const { capacity, ledger, now } = this.options;
    if (!capacity || expectedMs === undefined) return;
    capacity.retain((id) => ledger.getEngine(id) !== undefined);
    capacity.record({
      upstream: engine.id,
      kind: isLong ? 'long' : 'short',
      duration: (now() - grantedAt) / Math.max(1, expectedMs),
      utilisation: engine.runningCount / engine.capacity.maxBatch,
    });
  }

  private getServiceRefusal(work: WorkItem): Refusal | undefined {
    const { ledger, now } = this.options;
    return ledger.canServe(work, now()) ? undefined : NO_ENGINE_REFUSAL;
  }

  private placeNext(): Grant | undefined {
    for (const candidate of this.options.queue.getCandidates(CANDIDATE_LIMIT)) {
      const grant = this.placeCandidate(candidate);
      if (grant) return grant;
    }
    return undefined;
  }

  private placeCandidate({ work, isBelowMinimumShare }: QueueCandidate): Grant | undefined {
    const { ledger, placement, queue, now } = this.options;
    const result = placement.findPlace({ work, ledger, now: now(), isBelowMinimumShare });
    if (!result) return undefined;
    queue.onPlaced(work, now());
    this.reserve(work, result, isBelowMinimumShare);
    return { work, placement: result, queuedMs: now() - work.arrivedAt };
  }

  private reserve(work: WorkItem, result: PlacementResult, isBelowMinimumShare: boolean): void {
    const grantedAt = this.options.now();
    result.shares.forEach(({ engine, tokens }, position) =>
      engine.addReservation({
        request: work.id,
        tokens,
        model: work.model,
        customer: work.customer,
        priority: work.priority,
        leads: position === 0,
        isLong: work.isLong,
        prefillTokens: work.promptTokens - result.cachedTokens,
        grantedAt,
        startBy: grantedAt + this.options.startWithinMs,
        isConfirmed: false,
        isDecoding: false,
        session: this.sessions.get(work.id) ?? '',
        isPausable: work.priority === 'batch' && !isBelowMinimumShare,
        isPausing: false,
        enginePriority: result.enginePriority,
        expectedMs: result.expectedMs,
      }),
    );
    this.sessions.delete(work.id);
  }
}

function isExpired(work: WorkItem, now: number): boolean {
  return now > work.dueAt || now - work.arrivedAt > work.queueLimitMs;
}
