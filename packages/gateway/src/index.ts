/** HTTP gateway: entry processes route requests by a configuration that control processes replicate. */
export * from './configuration/index.js';
export * from './control/index.js';
export * from './entry/index.js';
export * from './settings/index.js';
export { ByteAccumulator, ResponseCompletion } from './upstreams/index.js';
