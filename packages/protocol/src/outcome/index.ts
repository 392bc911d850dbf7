/** Outcomes of requests. */
export * from './Outcome.js';
