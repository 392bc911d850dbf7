/** HTTP clients for engines and plain services. */
export * from './EngineClient.js';
export * from './EngineError.js';
export * from './EngineStreamClient.js';
export * from './ServiceClient.js';
export * from './UpstreamError.js';
