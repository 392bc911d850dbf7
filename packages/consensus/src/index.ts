/** An embeddable replicated log with leader election, snapshots, membership changes and storage. */
export * from './errors/index.js';
export * from './log/index.js';
export * from './replica/index.js';
export * from './storage/index.js';
export * from './time/index.js';
