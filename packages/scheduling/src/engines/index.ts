/** Engines that batch: a model of their passes, and where prompts of unlike lengths go. */
export * from './EngineJob.js';
export type { JobEnding } from './EngineHealth.js';
export { HEAVY_READ_MS } from './EngineLoad.js';
export type { EngineEntry } from './EngineLoad.js';
export * from './EngineScheduler.js';
export * from './PassModel.js';
