const HALF_LIFE_MS = 30_000;
/** A customer with more than this share of recent tokens counts as large. */
const LARGE_CUSTOMER_SHARE = 0.25;

/** Classifies customers as large or small by their exponentially decayed share of all tokens. */
export class CustomerSizeClassifier {
  private readonly tokensByCustomer = new Map<string, number>();

  private totalTokens = 0;

  private decayedAt = performance.now();

  add(customer: string, tokens: number): void {
    this.decay();
    this.tokensByCustomer.set(customer, (this.tokensByCustomer.get(customer) ?? 0) + tokens);
    this.totalTokens += tokens;
  }

  isLarge(customer: string): boolean {
    return (this.tokensByCustomer.get(customer) ?? 0) > this.totalTokens * LARGE_CUSTOMER_SHARE;
  }

  private decay(): void {
    const now = performance.now();
    const factor = 0.5 ** ((now - this.decayedAt) / HALF_LIFE_MS);
    this.decayedAt = now;
    this.totalTokens *= factor;
    this.tokensByCustomer.forEach((value, customer) =>
      this.tokensByCustomer.set(customer, value * factor),
    );
  }
}
