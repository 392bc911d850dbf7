/** Scheduling of requests on engines: admission, queueing, placement and memory accounting. */
export * from './admission/index.js';
export * from './budget/index.js';
export * from './engines/index.js';
export * from './ledger/index.js';
export * from './placement/index.js';
export * from './queue/index.js';
export * from './scheduler/index.js';
export * from './workload/index.js';
