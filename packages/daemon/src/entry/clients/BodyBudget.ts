/** Limits the total size of the request bodies held in memory at the same time. */
export class BodyBudget {
  private held = 0;

  /** @param maxBytes - Highest total size in bytes. */
  constructor(private readonly maxBytes: number) {}

  get heldBytes(): number {
    return this.held;
  }

  /** Reserves bytes; returns a function that releases them, or undefined when too few are left. */
  acquire(bytes: number): (() => void) | undefined {
    if (this.held + bytes > this.maxBytes) return undefined;
    this.held += bytes;
    let isHeld = true;
    return () => {
      if (isHeld) this.held -= bytes;
      isHeld = false;
    };
  }
}
