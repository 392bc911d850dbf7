/** The replica and the ports it needs. */
export * from './messages.js';
export * from './Peer.js';
export * from './Replica.js';
export * from './ReplicaEvent.js';
export * from './StateMachine.js';
