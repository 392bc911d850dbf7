/** Small stand-ins for upstreams, and the tools that start processes. */
export * from './engine/FakeEngine.js';
export * from './harness/index.js';
export * from './load/index.js';
