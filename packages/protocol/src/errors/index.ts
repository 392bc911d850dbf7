/** Parsing of documents and the errors it throws. */
export * from './parseDocument.js';
export * from './ValidationError.js';
