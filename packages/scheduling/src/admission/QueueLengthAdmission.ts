import type { AdmissionPolicy, AdmissionRequest, Refusal } from './AdmissionPolicy.js';
import { getDrainMs } from './estimates.js';

const MAX_QUEUED_ITEMS = 1000;
const RETRY_AFTER_MS = 1000;

/** Baseline policy: admits until the queue length reaches a fixed limit. */
export class QueueLengthAdmission implements AdmissionPolicy {
  getRefusal({ queue }: AdmissionRequest): Refusal | undefined {
    if (queue.size < MAX_QUEUED_ITEMS) return undefined;
    return { reason: 'queue-full', retryAfterMs: RETRY_AFTER_MS };
  }

  getWaitMs({ work, queue, ledger }: AdmissionRequest): number {
    return getDrainMs(queue.getAll(), ledger.getUsableEngines(work));
  }
}
