import type { Engine } from '../ledger/index.js';
import { getMemoryTokens } from '../workload/index.js';
import type { WorkItem } from '../workload/index.js';
import { NO_ENGINE_REFUSAL } from './AdmissionPolicy.js';
import type { AdmissionPolicy, AdmissionRequest, Refusal } from './AdmissionPolicy.js';
import { getDrainMs, getMinLatencyMs } from './estimates.js';

/** Share of the remaining time and of the queue limit that an estimate may use. */
const SAFETY_FACTOR = 0.8;
/** Lower bound of the capacity share assumed for a priority, so that estimates stay finite. */
const MIN_CAPACITY_SHARE = 0.05;

/** Refuses work items that are not expected to meet their queue limit and deadline. */
export class DeadlineAdmission implements AdmissionPolicy {
  /** @param getMinimumShare - Gets the share of service guaranteed to a priority under any load. */
  constructor(private readonly getMinimumShare: (priority: WorkItem['priority']) => number) {}

  getRefusal(request: AdmissionRequest): Refusal | undefined {
    const { work, ledger, now } = request;
    const engines = ledger.getUsableEngines(work);
    const [engine] = engines;
    if (!engine) return NO_ENGINE_REFUSAL;
    if (getTotalMemory(engines) < getMemoryTokens(work)) {
      return { reason: 'too-large', retryAfterMs: 0 };
    }
    const waitMs = this.getWaitMs(request);
    const remainingMs = (work.dueAt - now) * SAFETY_FACTOR;
    const excessMs = Math.max(
      waitMs - work.queueLimitMs * SAFETY_FACTOR,
      waitMs + getMinLatencyMs(work, engine) - remainingMs,
    );
    if (excessMs <= 0) return undefined;
    return {
      reason: 'deadline',
      retryAfterMs: getRetryAfterMs(excessMs, work, engine, remainingMs),
    };
  }

  getWaitMs({ work, queue, ledger, now }: AdmissionRequest): number {
    const engines = ledger.getUsableEngines(work);
    const drainMs = getDrainMs(queue.getAhead(work), engines);
    const availableShare = 1 - queue.getHigherPriorityShare(work.priority, now);
    const share = Math.max(availableShare, this.getMinimumShare(work.priority), MIN_CAPACITY_SHARE);
    return drainMs / share;
  }
}

function getTotalMemory(engines: Engine[]): number {
  return engines.reduce((sum, engine) => sum + engine.capacity.kvTokens, 0);
}

/** Gets the retry delay; 0 when the deadline could not be met even on an idle engine. */
function getRetryAfterMs(
  excessMs: number,
  work: WorkItem,
  engine: Engine,
  remainingMs: number,
): number {
  return getMinLatencyMs(work, engine) > remainingMs ? 0 : Math.ceil(excessMs);
}
