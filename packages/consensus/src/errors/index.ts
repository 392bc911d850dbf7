/** Errors thrown by the replicated log. */
export * from './CorruptStorage.js';
export * from './FatalFault.js';
export * from './NotLeader.js';
export * from './OutcomeUnknown.js';
export * from './StorageFault.js';
