/** The benches. */
export * from './fair.js';
export * from './floor.js';
export * from './hol.js';
export * from './longest.js';
export * from './ranks.js';
