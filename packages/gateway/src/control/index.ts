/** The control process: replicated configuration, upstream discovery and prompt placement. */
export * from './ControlInterface.js';
export * from './ControlNode.js';
