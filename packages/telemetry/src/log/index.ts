/** Logging. */
export * from './BoundedOutput.js';
export * from './createLogger.js';
