/** Runtime invariant checks. */
export * from './InvariantViolation.js';
export * from './Invariants.js';
