/** HTTP client for upstreams: requests, response completeness and event streams. */
export * from './BodyTooLargeError.js';
export * from './ByteAccumulator.js';
export * from './OutOfMemoryError.js';
export * from './readBody.js';
export * from './ResponseCompletion.js';
export * from './endToEndHeaders.js';
export * from './EventStreamSplitter.js';
export * from './UpstreamAgent.js';
export * from './UpstreamCall.js';
export * from './UpstreamError.js';
