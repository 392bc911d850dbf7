/** Placement of work items on engines. */
export * from './ClassPlacement.js';
export * from './LeastLoadedPlacement.js';
export * from './PlacementPolicy.js';
