/** The entry process: accepts client requests and proxies them to upstreams. */
export * from './EntryNode.js';
export * from './EntryProtocol.js';
