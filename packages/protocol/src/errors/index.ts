/** Errors about documents. */
export * from './parseDocument.js';
export * from './ValidationFault.js';
