/** The control process: durable configuration, discovery, and the feed to entry processes. */
export * from './ControlInterface.js';
export * from './ControlNode.js';
