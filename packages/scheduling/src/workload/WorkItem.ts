/** Priority class of a work item. */
export type WorkPriority = 'urgent' | 'standard' | 'batch';

/** Priority classes, highest first. */
export const WORK_PRIORITIES: readonly WorkPriority[] = ['urgent', 'standard', 'batch'];

/** A prompt that needs memory on an engine. Times are monotonic milliseconds. */
export interface WorkItem {
  id: string;
  customer: string;
  /** Weight of the customer in fair queueing. */
  weight: number;
  priority: WorkPriority;
  model: string;
  promptTokens: number;
  /** Maximum number of output tokens still to be generated. */
  maxTokens: number;
  /** Hashes of the prompt's prefixes, one per cache block, shortest prefix first. */
  prefixes: string[];
  arrivedAt: number;
  /** Deadline for the complete answer. */
  dueAt: number;
  /** Maximum time in the queue, in milliseconds. */
  queueLimitMs: number;
  /** True when the prompt is long enough to be kept apart from short ones. */
  isLong: boolean;
  /** True when the work item was admitted earlier and has partly run. */
  isResumed: boolean;
  /** Ids of engines on which an earlier attempt failed. */
  avoidedEngines: string[];
}

/** Cost of an output token relative to a prompt token. */
const OUTPUT_TOKEN_COST = 4;

/** Gets the key-value cache memory that a work item needs, in tokens. */
export function getMemoryTokens(work: WorkItem): number {
  return work.promptTokens + work.maxTokens;
}

/** Gets the cost used for fair sharing among customers, in prompt-token equivalents. */
export function getCost(work: WorkItem): number {
  return work.promptTokens + OUTPUT_TOKEN_COST * work.maxTokens;
}
