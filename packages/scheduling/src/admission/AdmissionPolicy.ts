import type { Ledger } from '../ledger/index.js';
import type { WorkQueue } from '../queue/index.js';
import type { WorkItem } from '../workload/index.js';

/**
 * Reason for which a work item was refused before it ran. Three reasons do not come from admission:
 * `expired` (past its deadline or queue limit while queued), `cancelled` (by its caller) and
 * `owner-changed` (the process does not own the shard, or no longer does). `no-engine` is also given
 * to a queued work item that no engine can serve any more.
 */
export type RefusalReason =
  'deadline' | 'queue-full' | 'no-engine' | 'too-large' | 'expired' | 'cancelled' | 'owner-changed';

/** A refusal. The work item did not run. */
export interface Refusal {
  reason: RefusalReason;
  /**
   * Delay in milliseconds after which a retry may succeed; 0 when unknown or when a retry cannot
   * succeed.
   */
  retryAfterMs: number;
}

/** Refusal of a work item that no engine can serve. */
export const NO_ENGINE_REFUSAL: Refusal = { reason: 'no-engine', retryAfterMs: 1000 };

/** Input of an admission decision. */
export interface AdmissionRequest {
  work: WorkItem;
  queue: WorkQueue;
  ledger: Ledger;
  now: number;
}

/** Decides on arrival whether a work item is admitted. */
export interface AdmissionPolicy {
  /** Returns the refusal, or undefined to admit. */
  getRefusal(request: AdmissionRequest): Refusal | undefined;
  /** Estimates the time in the queue, in milliseconds. */
  getWaitMs(request: AdmissionRequest): number;
}
