/** Priorities, the first one served first. */
export type WorkPriority = 'urgent' | 'standard' | 'batch';

/** Priorities in the order of service. */
export const WORK_PRIORITIES: readonly WorkPriority[] = ['urgent', 'standard', 'batch'];

/** A prompt that waits for engine memory. Times are monotonic milliseconds. */
export interface Work {
  id: string;
  customer: string;
  /** Fair share of the customer relative to others. */
  weight: number;
  priority: WorkPriority;
  model: string;
  promptTokens: number;
  /** Most answer tokens still to be produced. */
  maxTokens: number;
  /** Hashes of the prompt's prefixes, the shortest first, one for each block. */
  prefixes: string[];
  arrivedAt: number;
  /** Time by which the whole answer is due. */
  dueAt: number;
  /** Longest wait in the queue. */
  queueLimitMs: number;
  /** True when a longer prompt must not share an engine with short ones. */
  isLong: boolean;
  /** True when the work was admitted before and has run in part. */
  isResumed: boolean;
  /** Engines that failed an earlier attempt. */
  avoided: string[];
}

/** Cost of an answer token relative to a prompt token. */
const OUTPUT_TOKEN_COST = 4;

/** Gets the engine memory that a work needs, in tokens. */
export function getMemoryTokens(work: Work): number {
  return work.promptTokens + work.maxTokens;
}

/** Gets the cost by which customers share the engines, in prompt tokens. */
export function getCost(work: Work): number {
  return work.promptTokens + OUTPUT_TOKEN_COST * work.maxTokens;
}
