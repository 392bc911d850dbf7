/** Scheduler of the engines of one shard. */
export * from './Scheduler.js';
