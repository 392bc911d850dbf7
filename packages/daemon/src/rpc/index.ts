/** RPC between the processes of the system. */
export * from './ControlClient.js';
export * from './leaderErrors.js';
export * from './RpcClients.js';
export * from './RpcInterceptors.js';
export * from './RpcServer.js';
