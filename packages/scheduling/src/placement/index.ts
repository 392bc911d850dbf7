/** Choice of engines. */
export * from './ClassPlacement.js';
export * from './LeastLoadedPlacement.js';
export * from './Placement.js';
