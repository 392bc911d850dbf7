/** Assertions inside the running program. */
export * from './InvariantViolation.js';
export * from './Invariants.js';
