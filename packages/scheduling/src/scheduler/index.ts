/** The scheduler of one shard. */
export * from './Scheduler.js';
