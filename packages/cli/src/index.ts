/** The operators' commands, for embedding and for tests. */
export * from './commands/index.js';
