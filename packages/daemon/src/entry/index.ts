/** The entry role. */
export * from './EntryProcess.js';
