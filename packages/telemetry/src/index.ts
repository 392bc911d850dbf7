/** Clock, time line, logs and always-on assertions. */
export * from './clock/index.js';
export * from './invariants/index.js';
export * from './log/index.js';
export * from './timeline/index.js';
