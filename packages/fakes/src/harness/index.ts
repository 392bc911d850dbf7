/** Test harness: processes, relays and sample data for the demo, the benchmarks and the tests. */
export * from './ChildProcess.js';
export * from './Crowd.js';
export * from './Fleet.js';
export * from './fleetMetrics.js';
export * from './GatewayCluster.js';
export * from './getFreePorts.js';
export * from './getSampleRelease.js';
export * from './hashApiKey.js';
export * from './processUsage.js';
export * from './Relay.js';
