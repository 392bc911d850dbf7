/** Framed connections between processes: calls, notices and heartbeats both ways. */
export * from './addresses.js';
export * from './frames.js';
export * from './Link.js';
export * from './LinkFault.js';
export * from './LinkServer.js';
export * from './OutboundLink.js';
