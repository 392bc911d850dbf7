/** Log entries, cluster members and the in-memory log. */
export * from './LogEntry.js';
export * from './Member.js';
export * from './MemoryLog.js';
