/** The deterministic state that the log replicates. */
export interface StateMachine {
  /** Applies a committed command and gets its result. Must not depend on anything but the state. */
  apply(command: Uint8Array, index: number): unknown;
  /** Gets the whole state as bytes. */
  takeSnapshot(): Uint8Array;
  /** Replaces the whole state. */
  restore(state: Uint8Array): void;
}
