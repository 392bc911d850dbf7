/** Errors used by several modules of the daemon. */
export * from './ControlUnreachable.js';
