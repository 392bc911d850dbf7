import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { AdmissionPolicy, Refusal, RefusalReason } from '../admission/index.js';
import type { Engine, Ledger, Reservation } from '../ledger/index.js';
import type { Place, Placement } from '../placement/index.js';
import type { Candidate, WorkQueue } from '../queue/index.js';
import type { Work } from '../workload/index.js';
import { findVictims } from './findVictims.js';

/** A work that got its memory. */
export interface Grant {
  work: Work;
  place: Place;
  queuedMs: number;
}

/** What a scheduler is made of. */
export interface SchedulerOptions {
  ledger: Ledger;
  queue: WorkQueue;
  admission: AdmissionPolicy;
  placement: Placement;
  /** Time in which a granted work must start. */
  startWithinMs: number;
  /** Whether batch work gives way to urgent work that finds no room. */
  isPreemptive: boolean;
  now: () => number;
}

/** Reservation to be paused, and the engine that runs it. */
export interface Victim {
  engine: Engine;
  reservation: Reservation;
}

/** Candidates of one priority that are tried before the scheduler gives up for now. */
const CANDIDATE_LIMIT = 8;
/** Time that urgent work waits for room before others give way. */
const PREEMPTION_AFTER_MS = 30;

/** Decides which work gets which engine memory. Its caller is the only writer of the ledger. */
export class Scheduler {
  private readonly sessions = new Map<string, string>();

  constructor(private readonly options: SchedulerOptions) {}

  /** Queues a work, or refuses it at once. */
  submit(work: Work, session: string): Result<Work, Refusal> {
    const { admission, queue, ledger, now } = this.options;
    const isAdmitted = work.isResumed;
    const request = { work, queue, ledger, now: now() };
    const refusal = isAdmitted ? undefined : admission.getRefusal(request);
    if (refusal) return Err(refusal);
    this.sessions.set(work.id, session);
    queue.add(work);
    return Ok(work);
  }

  /** Removes a queued work; gets false when it is not queued. */
  cancel(id: string): boolean {
    this.sessions.delete(id);
    return this.options.queue.remove(id);
  }

  /** Places as many queued works as fit now. */
  dispatch(): Grant[] {
    const grants: Grant[] = [];
    for (let grant = this.placeNext(); grant; grant = this.placeNext()) grants.push(grant);
    return grants;
  }

  /** Removes the queued works whose time can no longer be kept. */
  expire(): { work: Work; reason: RefusalReason }[] {
    const { queue, now } = this.options;
    const late = queue.getAll().filter((work) => isLate(work, now()));
    late.forEach((work) => this.cancel(work.id));
    return late.map((work) => ({ work, reason: 'expired' }));
  }

  /** Gets the reservations to pause so that waiting urgent work finds room. */
  findVictims(): Victim[] {
    const { queue, ledger, now, isPreemptive } = this.options;
    if (!isPreemptive) return [];
    const [first] = queue.getCandidates(1).filter(({ work }) => work.priority === 'urgent');
    if (!first || now() - first.work.arrivedAt < PREEMPTION_AFTER_MS) return [];
    return findVictims(first.work, ledger);
  }

  /** Gets the time that a work of this shape would wait, were it to arrive now. */
  getWaitMs(work: Work): number {
    const { admission, queue, ledger, now } = this.options;
    return admission.getWaitMs({ work, queue, ledger, now: now() });
  }

  private placeNext(): Grant | undefined {
    for (const candidate of this.options.queue.getCandidates(CANDIDATE_LIMIT)) {
      const grant = this.place(candidate);
      if (grant) return grant;
    }
    return undefined;
  }

  private place({ work, isShareDue }: Candidate): Grant | undefined {
    const { ledger, placement, queue, now } = this.options;
    const place = placement.findPlace({ work, ledger, now: now(), isShareDue });
    if (!place) return undefined;
    queue.onPlaced(work, now());
    this.reserve(work, place, isShareDue);
    return { work, place, queuedMs: now() - work.arrivedAt };
  }

  private reserve(work: Work, place: Place, isShareDue: boolean): void {
    const grantedAt = this.options.now();
    place.shares.forEach(({ engine, tokens }, position) =>
      engine.addReservation({
        request: work.id,
        tokens,
        model: work.model,
        customer: work.customer,
        priority: work.priority,
        leads: position === 0,
        isLong: work.isLong,
        prefillTokens: work.promptTokens - place.cachedTokens,
        grantedAt,
        startBy: grantedAt + this.options.startWithinMs,
        isSeen: false,
        isDecoding: false,
        session: this.sessions.get(work.id) ?? '',
        isPausable: work.priority === 'batch' && !isShareDue,
        isPausing: false,
        enginePriority: place.enginePriority,
      }),
    );
    this.sessions.delete(work.id);
  }
}

function isLate(work: Work, now: number): boolean {
  return now > work.dueAt || now - work.arrivedAt > work.queueLimitMs;
}
