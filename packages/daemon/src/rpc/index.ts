/** Calls between the processes of the system. */
export * from './ControlClient.js';
export * from './leaderFaults.js';
export * from './RpcClients.js';
export * from './RpcContext.js';
export * from './RpcServer.js';
