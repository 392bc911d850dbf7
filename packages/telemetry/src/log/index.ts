/** Logging. */
export * from './createLogger.js';
