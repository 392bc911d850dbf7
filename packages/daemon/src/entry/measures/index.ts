/** Metrics of an entry process. */
export * from './getLengthClass.js';
export * from './EntryMetrics.js';
