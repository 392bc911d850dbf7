/** The control role. */
export * from './ControlProcess.js';
