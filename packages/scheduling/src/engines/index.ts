/** Performance model of batching engines, and placement of prompts of different lengths on them. */
export * from './EngineJob.js';
export type { JobEnding } from './EngineHealth.js';
export { LONG_PREFILL_MS } from './EngineLoad.js';
export type { EngineDescriptor } from './EngineLoad.js';
export * from './EngineScheduler.js';
export * from './LatencyModel.js';
export * from './OnTimeOrder.js';
