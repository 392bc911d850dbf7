/** Runtime invariant checks. */
export * from './InvariantViolationError.js';
export * from './Invariants.js';
