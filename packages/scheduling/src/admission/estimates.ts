import type { Engine } from '../ledger/index.js';
import type { WorkItem } from '../workload/index.js';

/**
 * Gets the engine time of a work item. Assumes a full batch, so that each decode step serves
 * `maxBatch` requests.
 */
export function getEngineTimeMs(work: WorkItem, engine: Engine): number {
  const { prefillTokensPerSecond, decodeStepMs, maxBatch } = engine.capacity;
  const prefillMs = (work.promptTokens / prefillTokensPerSecond) * 1000;
  return prefillMs + (work.maxTokens * decodeStepMs) / maxBatch;
}

/** Gets the latency of a work item that starts immediately on an idle engine. */
export function getMinLatencyMs(work: WorkItem, engine: Engine): number {
  const { prefillTokensPerSecond, decodeStepMs } = engine.capacity;
  const prefillMs = (work.promptTokens / prefillTokensPerSecond) * 1000;
  return prefillMs + work.maxTokens * decodeStepMs;
}

/** Estimates the time in which a queue drains, assuming engines of equal capacity. */
export function getDrainMs(items: WorkItem[], engines: Engine[]): number {
  const [engine] = engines;
  if (!engine) return Infinity;
  const total = items.reduce((sum, work) => sum + getEngineTimeMs(work, engine), 0);
  return total / engines.length;
}
