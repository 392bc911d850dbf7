const HALF_LIFE_MS = 30_000;
/** A customer with more than this share of recent tokens counts as large. */
const LARGE_SHARE = 0.25;

/** Tells large customers from small ones by their share of recent tokens. */
export class TopTalkers {
  private readonly tokens = new Map<string, number>();

  private total = 0;

  private updatedAt = performance.now();

  /** Counts tokens of a customer. */
  add(customer: string, tokens: number): void {
    this.decay();
    this.tokens.set(customer, (this.tokens.get(customer) ?? 0) + tokens);
    this.total += tokens;
  }

  isLarge(customer: string): boolean {
    return (this.tokens.get(customer) ?? 0) > this.total * LARGE_SHARE;
  }

  private decay(): void {
    const now = performance.now();
    const factor = 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    this.total *= factor;
    this.tokens.forEach((value, customer) => this.tokens.set(customer, value * factor));
  }
}
