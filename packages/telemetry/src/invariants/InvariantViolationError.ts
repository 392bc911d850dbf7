/** Thrown when an invariant does not hold. */
export class InvariantViolationError extends Error {
  override readonly name = 'InvariantViolationError';

  /** @param invariant - Name of the invariant. */
  constructor(
    readonly invariant: string,
    detail: string,
  ) {
    super(`${invariant}: ${detail}`);
  }
}
