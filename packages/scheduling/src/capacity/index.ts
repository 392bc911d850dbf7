/** How much work each upstream takes well, estimated from the durations of its requests. */
export * from './CapacityEstimator.js';
export type { ObservationTotals } from './DecayingSample.js';
export * from './FirstEventObserver.js';
export * from './UpstreamCapacity.js';
