/** Release documents, the upstream protocol and the RPC messages between processes. */
export * from './errors/index.js';
export * from './gen/azurecart/v1/consensus_pb.js';
export * from './gen/azurecart/v1/control_pb.js';
export * from './gen/azurecart/v1/owner_pb.js';
export * from './outcome/index.js';
export * from './release/index.js';
export * from './upstream/index.js';
