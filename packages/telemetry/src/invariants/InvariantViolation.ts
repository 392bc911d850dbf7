/** A condition that must always hold does not. */
export class InvariantViolation extends Error {
  override readonly name = 'InvariantViolation';

  /** @param invariant - Name of the invariant. */
  constructor(
    readonly invariant: string,
    detail: string,
  ) {
    super(`${invariant}: ${detail}`);
  }
}
