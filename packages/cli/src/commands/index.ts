/** Implementations of the commands. */
export * from './administerCluster.js';
export * from './checkRelease.js';
export * from './diffRelease.js';
export * from './showStatus.js';
export * from './showTimeline.js';
export * from './submitRelease.js';
