/** Errors of the daemon. */
export * from './ControlUnreachableError.js';
