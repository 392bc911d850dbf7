/** Secrets shared between parties. */
export * from './Secret.js';
