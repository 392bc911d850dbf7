/** The entry process, which serves clients and owns upstream shards. */
export * from './EntryProcess.js';
