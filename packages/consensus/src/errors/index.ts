/** Errors thrown by the replicated log. */
export * from './CorruptStorageError.js';
export * from './FatalError.js';
export * from './NotLeaderError.js';
export * from './OutcomeUnknownError.js';
export * from './StorageError.js';
