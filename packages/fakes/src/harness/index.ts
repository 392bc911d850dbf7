/** Test harness: processes, relays and sample data for the demo, the benchmarks and the tests. */
export * from './ChildProcess.js';
export * from './Fleet.js';
export * from './fleetProbes.js';
export * from './getFreePorts.js';
export * from './getSampleRelease.js';
export * from './hashKey.js';
export * from './Relay.js';
