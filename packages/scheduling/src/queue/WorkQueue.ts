import type { Work, WorkPriority } from '../workload/index.js';

/** Work that waits, in the order in which it should be placed. */
export interface WorkQueue {
  readonly size: number;
  add(work: Work): void;
  /** Removes a work that was refused or cancelled; gets false when it is not queued. */
  remove(id: string): boolean;
  /** Gets the waiting works that may be placed next, the best one first. */
  getCandidates(limit: number): Candidate[];
  /** Gets the works that would be served before this one. */
  getAhead(work: Work): Work[];
  /** Gets all waiting works. */
  getAll(): Work[];
  /** Removes a work that was placed, and counts its service. */
  onPlaced(work: Work, now: number): void;
  /** Gets the share of recent service that went to priorities above the given one. */
  getShareAbove(priority: WorkPriority, now: number): number;
}

/** A work that may be placed next. */
export interface Candidate {
  work: Work;
  /** True when the work comes first only because its priority is below its minimum share. */
  isShareDue: boolean;
}
