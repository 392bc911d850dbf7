/** Calls to upstreams over HTTP. */
export * from './CompletionWatch.js';
export * from './EventCutter.js';
export * from './hopHeaders.js';
export * from './UpstreamAgent.js';
export * from './UpstreamCall.js';
export * from './UpstreamFault.js';
