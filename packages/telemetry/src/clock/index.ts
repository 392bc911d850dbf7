/** Clocks. */
export * from './HybridClock.js';
