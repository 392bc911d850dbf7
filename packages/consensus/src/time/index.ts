/** Timing parameters and synchronisation primitives. */
export * from './Mutex.js';
export * from './Signal.js';
export * from './Timings.js';
