/** Memory that a process holds for the requests of others. */
export * from './MemoryBudget.js';
export * from './MemoryHolder.js';
