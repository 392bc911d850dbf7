export * from './UpstreamLimits.js';
