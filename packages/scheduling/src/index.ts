/**
 * Two schedulers of requests on engines. The owner of a shard, an entry process of the daemon, uses
 * `Scheduler` with admission, queueing, placement and memory accounting. The leading control
 * process of the gateway uses `EngineScheduler`, which places prompts by a performance model of the
 * engines.
 */
export * from './admission/index.js';
export * from './budget/index.js';
export * from './capacity/index.js';
export * from './engines/index.js';
export * from './handover/index.js';
export * from './ledger/index.js';
export * from './limits/index.js';
export * from './memory/index.js';
export * from './placement/index.js';
export * from './poison/index.js';
export * from './queue/index.js';
export * from './scheduler/index.js';
export * from './workload/index.js';
