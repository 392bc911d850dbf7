import type { AdmissionPolicy, AdmissionRequest, Refusal } from './AdmissionPolicy.js';
import { getDrainMs } from './estimates.js';

const QUEUE_LIMIT = 1000;

/** Baseline policy: admits until the queue length reaches a fixed limit. */
export class QueueLengthAdmission implements AdmissionPolicy {
  getRefusal({ queue }: AdmissionRequest): Refusal | undefined {
    if (queue.size < QUEUE_LIMIT) return undefined;
    return { reason: 'queue-full', retryAfterMs: 1000 };
  }

  getWaitMs({ work, queue, ledger }: AdmissionRequest): number {
    return getDrainMs(queue.getAll(), ledger.getServingEngines(work.model));
  }
}
