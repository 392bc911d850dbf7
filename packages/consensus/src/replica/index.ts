/** The replica and the interfaces that an application implements. */
export * from './messages.js';
export * from './Peer.js';
export * from './Replica.js';
export * from './ReplicaEvent.js';
export * from './StateMachine.js';
