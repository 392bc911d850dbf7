/** Control state as seen by an entry process, and the configuration lease. */
export * from './ConfigurationLease.js';
export * from './View.js';
export * from './ViewFollower.js';
