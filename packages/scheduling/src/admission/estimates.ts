import type { Engine } from '../ledger/index.js';
import type { Work } from '../workload/index.js';

/** Gets the time one engine spends on a work, its decode steps shared with a full batch. */
export function getEngineMs(work: Work, engine: Engine): number {
  const { prefillTokensPerSecond, decodeStepMs, maxBatch } = engine.capacity;
  const prefillMs = (work.promptTokens / prefillTokensPerSecond) * 1000;
  return prefillMs + (work.maxTokens * decodeStepMs) / maxBatch;
}

/** Gets the shortest time from start to end of a work that runs at once. */
export function getRunMs(work: Work, engine: Engine): number {
  const { prefillTokensPerSecond, decodeStepMs } = engine.capacity;
  const prefillMs = (work.promptTokens / prefillTokensPerSecond) * 1000;
  return prefillMs + work.maxTokens * decodeStepMs;
}

/** Gets the time until a queue of works is placed on a number of equal engines. */
export function getDrainMs(works: Work[], engines: Engine[]): number {
  const [engine] = engines;
  if (!engine) return Infinity;
  const total = works.reduce((sum, work) => sum + getEngineMs(work, engine), 0);
  return total / engines.length;
}
