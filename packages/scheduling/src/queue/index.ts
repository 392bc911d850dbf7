/** Queueing disciplines. */
export * from './FairQueue.js';
export * from './FifoQueue.js';
export * from './WorkQueue.js';
