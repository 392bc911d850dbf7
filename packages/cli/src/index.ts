/** Commands of the command-line interface, for use by other programs and tests. */
export * from './commands/index.js';
