import type { Admission, AdmissionRequest, Refusal } from './Admission.js';

const QUEUE_LIMIT = 1000;

/** Baseline: admits until the queue is full. */
export class OpenAdmission implements Admission {
  // eslint-disable-next-line class-methods-use-this -- The baseline needs no state.
  getRefusal({ queue }: AdmissionRequest): Refusal | undefined {
    if (queue.size < QUEUE_LIMIT) return undefined;
    return { reason: 'queue-full', retryAfterMs: 1000 };
  }
}
