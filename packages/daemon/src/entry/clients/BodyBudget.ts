/** Bounds the bytes of all request bodies held at the same time. */
export class BodyBudget {
  private held = 0;

  /** @param limit - Most bytes held. */
  constructor(private readonly limit: number) {}

  get heldBytes(): number {
    return this.held;
  }

  /** Takes bytes; gets a function that gives them back, or undefined when there are too few. */
  take(bytes: number): (() => void) | undefined {
    if (this.held + bytes > this.limit) return undefined;
    this.held += bytes;
    let isHeld = true;
    return () => {
      if (isHeld) this.held -= bytes;
      isHeld = false;
    };
  }
}
