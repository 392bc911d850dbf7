import type { Engine } from '../ledger/index.js';
import { getMemoryTokens } from '../workload/index.js';
import type { Work } from '../workload/index.js';
import type { Admission, AdmissionRequest, Refusal } from './Admission.js';
import { getDrainMs, getRunMs } from './estimates.js';

/** Part of the time left that an estimate may use up. */
const SAFETY = 0.8;
const SMALLEST_CAPACITY_SHARE = 0.05;
const NO_ENGINE_RETRY_MS = 1000;

/** Refuses at once what is not expected to be served in time. */
export class DeadlineAdmission implements Admission {
  /** @param minimumShare - Gets the service share that a priority keeps in any flood. */
  constructor(private readonly minimumShare: (priority: Work['priority']) => number) {}

  getRefusal(request: AdmissionRequest): Refusal | undefined {
    const { work, ledger, now } = request;
    const engines = ledger.getServing(work.model);
    const [engine] = engines;
    if (!engine) return { reason: 'no-engine', retryAfterMs: NO_ENGINE_RETRY_MS };
    if (getTotalMemory(engines) < getMemoryTokens(work)) {
      return { reason: 'too-large', retryAfterMs: 0 };
    }
    const waitMs = this.getWaitMs(request);
    const leftMs = (work.dueAt - now) * SAFETY;
    const excess = Math.max(
      waitMs - work.queueLimitMs * SAFETY,
      waitMs + getRunMs(work, engine) - leftMs,
    );
    if (excess <= 0) return undefined;
    return { reason: 'deadline', retryAfterMs: getRetryMs(excess, work, engine, leftMs) };
  }

  getWaitMs({ work, queue, ledger, now }: AdmissionRequest): number {
    const engines = ledger.getServing(work.model);
    const drainMs = getDrainMs(queue.getAhead(work), engines);
    const left = 1 - queue.getShareAbove(work.priority, now);
    const share = Math.max(left, this.minimumShare(work.priority), SMALLEST_CAPACITY_SHARE);
    return drainMs / share;
  }
}

function getTotalMemory(engines: Engine[]): number {
  return engines.reduce((sum, engine) => sum + engine.capacity.kvTokens, 0);
}

/** Gets when to come back; 0 when the work could not finish in time even on an idle engine. */
function getRetryMs(excess: number, work: Work, engine: Engine, leftMs: number): number {
  return getRunMs(work, engine) > leftMs ? 0 : Math.ceil(excess);
}
