/** Processes and fakes that the demo, the benches and the tests are built from. */
export * from './ChildProcess.js';
export * from './Fleet.js';
export * from './fleetProbes.js';
export * from './getFreePorts.js';
export * from './getSampleRelease.js';
export * from './hashKey.js';
export * from './Relay.js';
