/** Entries, members and the in-memory suffix of the log. */
export * from './LogEntry.js';
export * from './Member.js';
export * from './MemoryLog.js';
