/** Open-loop load generator that verifies the answers. */
export * from './generateArrivals.js';
export * from './GroupResult.js';
export * from './PromptClient.js';
export * from './Random.js';
export * from './runLoad.js';
