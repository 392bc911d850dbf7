/** The outcome of a request. */
export * from './Outcome.js';
