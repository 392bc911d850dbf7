import type { WorkItem, WorkPriority } from '../workload/index.js';

/** Queue of work items, ordered by a queueing discipline. */
export interface WorkQueue {
  readonly size: number;
  add(work: WorkItem): void;
  /** Removes a refused or cancelled work item; returns false when it is not queued. */
  remove(id: string): boolean;
  /** Gets the work items that may be placed next, in the order in which to try them. */
  getCandidates(limit: number): QueueCandidate[];
  /** Estimates which work items would be served before one that is not queued yet. */
  getAhead(work: WorkItem): WorkItem[];
  /** Gets all queued work items. */
  getAll(): WorkItem[];
  /** Removes a work item that was placed and records its service. */
  onPlaced(work: WorkItem, now: number): void;
  /** Gets the share of recent service that went to higher priorities, 0 to 1. */
  getHigherPriorityShare(priority: WorkPriority, now: number): number;
}

/** A work item that may be placed next. */
export interface QueueCandidate {
  work: WorkItem;
  /** True when the work item goes first because its priority is below its minimum share. */
  isBelowMinimumShare: boolean;
}
