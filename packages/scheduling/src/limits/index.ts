/** Limits that upstreams grant to all processes together, and how they are shared out. */
export * from './BackoffTable.js';
export * from './PermitQueue.js';
export * from './RandomTurns.js';
export * from './RateLimit.js';
export * from './RateLimiter.js';
export * from './RateLimitTable.js';
