/** Control process of the daemon. */
export * from './ControlProcess.js';
