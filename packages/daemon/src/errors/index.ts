/** Errors of the daemon that cross its modules. */
export * from './ControlUnreachable.js';
