/** The unit of scheduling. */
export * from './Work.js';
