/** Errors of the replicated log, one class a file. */
export * from './CorruptStorage.js';
export * from './FatalFault.js';
export * from './NotLeader.js';
export * from './OutcomeUnknown.js';
export * from './StorageFault.js';
