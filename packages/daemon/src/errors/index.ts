/** Errors of the daemon. */
export * from './ControlUnreachable.js';
