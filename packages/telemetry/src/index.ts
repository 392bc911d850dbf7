/** Hybrid logical clock, timeline of events, logging and runtime invariant checks. */
export * from './clock/index.js';
export * from './invariants/index.js';
export * from './log/index.js';
export * from './timeline/index.js';
