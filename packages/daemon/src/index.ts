/** Process roles, RPC, secrets and settings of the daemon, for embedding and for tests. */
export * from './control/index.js';
export * from './entry/index.js';
export * from './rpc/index.js';
export * from './secrets/index.js';
export * from './settings/index.js';
