import type { Ledger } from '../ledger/index.js';
import type { WorkQueue } from '../queue/index.js';
import type { Work } from '../workload/index.js';

/** Why a work was refused before it ran. */
export type RefusalReason =
  'deadline' | 'queue-full' | 'no-engine' | 'too-large' | 'expired' | 'cancelled' | 'owner-changed';

/** A refusal. The work did not run. */
export interface Refusal {
  reason: RefusalReason;
  /** Time after which another try may succeed; 0 when none is known. */
  retryAfterMs: number;
}

/** What an admission decides on. */
export interface AdmissionRequest {
  work: Work;
  queue: WorkQueue;
  ledger: Ledger;
  now: number;
}

/** Decides at arrival whether a work's time can be kept; undefined admits. */
export interface Admission {
  getRefusal(request: AdmissionRequest): Refusal | undefined;
  /** Gets the expected time in the queue, in milliseconds. */
  getWaitMs(request: AdmissionRequest): number;
}
