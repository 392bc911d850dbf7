/** A deterministic state machine replicated by the log. */
export interface StateMachine {
  /**
   * Applies a committed command and gets its result. Must depend only on the state and the
   * arguments, so that all replicas agree.
   */
  apply(command: Uint8Array, index: number): unknown;
  /** Serialises the complete state. */
  takeSnapshot(): Uint8Array;
  /** Replaces the complete state with a serialised one. */
  restore(state: Uint8Array): void;
}
