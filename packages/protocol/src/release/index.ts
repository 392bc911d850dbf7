/** Release documents: schema, parser and digest. */
export * from './digestRelease.js';
export * from './parseRelease.js';
export * from './Priority.js';
export * from './releaseSchema.js';
