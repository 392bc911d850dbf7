import { OBJECTIVE_SHARE } from './choices/index.js';
import type { EngineJob } from './EngineJob.js';

/** A job that waits for an engine; the times are monotonic, in milliseconds. */
export interface WaitingJob {
  job: EngineJob;
  arrivedAt: number;
  /** Time at which its client stops waiting. */
  deadlineAt: number;
}

/** Options of an {@link OnTimeOrder}. */
export interface OnTimeOrderOptions {
  /** Gets the shortest time in milliseconds from the placement of a job to its first event. */
  getLeastMs: (job: EngineJob) => number;
}

/**
 * Offers jobs by their priority, and those that can still meet their objective before the others.
 * @remarks Without overload the job that is due first goes first. Under overload that would make
 * every job wait until it is all but late, so the latest one goes first there.
 */
export class OnTimeOrder {
  constructor(private readonly options: OnTimeOrderOptions) {}

  sort(waiting: WaitingJob[], now: number): WaitingJob[] {
    const late = new Set(waiting.filter((each) => !this.canBeOnTime(each, now)));
    const overloaded = new Set([...late].map(({ job }) => job.priority));
    return [...waiting].sort(
      (a, b) =>
        a.job.priority - b.job.priority ||
        Number(late.has(a)) - Number(late.has(b)) ||
        (overloaded.has(a.job.priority) && !late.has(a)
          ? b.arrivedAt - a.arrivedAt
          : getDueAt(a) - getDueAt(b)),
    );
  }

  /** Returns true while a job can meet its objective if it is placed now. */
  canBeOnTime({ job, arrivedAt }: WaitingJob, now: number): boolean {
    return now + this.options.getLeastMs(job) <= arrivedAt + job.objectiveMs * OBJECTIVE_SHARE;
  }
}

function getDueAt({ job, arrivedAt }: WaitingJob): number {
  return arrivedAt + job.objectiveMs;
}
