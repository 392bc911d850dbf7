/** Fake upstreams, the test harness and load generation. */
export * from './engine/FakeEngine.js';
export * from './harness/index.js';
export * from './load/index.js';
