/** Ownership of upstream shards, and calls to the owners. */
export * from './addOwnerRoutes.js';
export * from './getShardOf.js';
export * from './OwnerApi.js';
export * from './OwnerDirectory.js';
export * from './LocalOwners.js';
export * from './RemoteOwner.js';
export * from './ShardOwner.js';
