/** Framed bidirectional connections between processes: calls, notifications and heartbeats. */
export * from './addresses.js';
export * from './frames.js';
export * from './Link.js';
export * from './LinkError.js';
export * from './LinkServer.js';
export * from './OutboundLink.js';
