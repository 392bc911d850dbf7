/** The way to upstreams. */
export * from './EngineClient.js';
export * from './EngineFault.js';
export * from './EngineStream.js';
export * from './ServiceCall.js';
export * from './StreamFault.js';
