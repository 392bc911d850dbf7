/** The entry process: clients' requests, and the way to an upstream. */
export * from './EntryNode.js';
export * from './Wire.js';
