/** Ownership of shards of upstreams. */
export * from './addOwnerRoutes.js';
export * from './getShardOf.js';
export * from './OwnerCalls.js';
export * from './OwnerDirectory.js';
export * from './Owners.js';
export * from './RemoteOwner.js';
export * from './ShardOwner.js';
