import type { Admission, AdmissionRequest, Refusal } from './Admission.js';
import { getDrainMs } from './estimates.js';

const QUEUE_LIMIT = 1000;

/** Baseline: admits until the queue is full. */
export class OpenAdmission implements Admission {
  getRefusal({ queue }: AdmissionRequest): Refusal | undefined {
    if (queue.size < QUEUE_LIMIT) return undefined;
    return { reason: 'queue-full', retryAfterMs: 1000 };
  }

  getWaitMs({ work, queue, ledger }: AdmissionRequest): number {
    return getDrainMs(queue.getAll(), ledger.getServing(work.model));
  }
}
