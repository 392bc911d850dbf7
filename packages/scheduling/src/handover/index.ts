/** Moves running work that stalls to another place, once there is one. */
export * from './Handover.js';
