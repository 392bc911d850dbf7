/** Time limits and the small tools that tasks wait with. */
export * from './Mutex.js';
export * from './Signal.js';
export * from './Timings.js';
