/** Open-loop load with checked answers. */
export * from './drawArrivals.js';
export * from './GroupResult.js';
export * from './PromptClient.js';
export * from './Random.js';
export * from './runLoad.js';
