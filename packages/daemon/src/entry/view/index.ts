/** The durable state as an entry process knows it. */
export * from './ConfigurationLease.js';
export * from './View.js';
export * from './ViewFollower.js';
