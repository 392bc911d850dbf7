/** Order of service. */
export * from './FairQueue.js';
export * from './FifoQueue.js';
export * from './WorkQueue.js';
