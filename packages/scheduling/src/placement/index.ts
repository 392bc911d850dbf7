/** Placement of work items on engines. */
export * from './LengthAwarePlacement.js';
export * from './LeastLoadedPlacement.js';
export * from './PlacementPolicy.js';
