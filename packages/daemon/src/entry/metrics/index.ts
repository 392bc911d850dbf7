/** Metrics of an entry process. */
export * from './EntryMetrics.js';
export * from './getLengthClass.js';
