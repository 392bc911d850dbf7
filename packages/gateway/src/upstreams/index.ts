/** HTTP client for upstreams: requests, response completeness and event streams. */
export * from './CompletionWatch.js';
export * from './endToEndHeaders.js';
export * from './EventCutter.js';
export * from './UpstreamAgent.js';
export * from './UpstreamCall.js';
export * from './UpstreamFault.js';
