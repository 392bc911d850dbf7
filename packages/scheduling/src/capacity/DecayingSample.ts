/** A sum of observations; several may be recorded at once. */
export interface ObservationTotals {
  count: number;
  sum: number;
  sumOfSquares: number;
}

/** Mean and variance of observations, of which older ones count less. */
export class DecayingSample {
  private totals: ObservationTotals = { count: 0, sum: 0, sumOfSquares: 0 };

  private lastAddedAt = 0;

  constructor(private readonly halfLifeMs: number) {}

  add({ count, sum, sumOfSquares }: ObservationTotals, now: number): void {
    const factor = this.getDecay(now);
    this.totals = {
      count: this.totals.count * factor + count,
      sum: this.totals.sum * factor + sum,
      sumOfSquares: this.totals.sumOfSquares * factor + sumOfSquares,
    };
    this.lastAddedAt = now;
  }

  /** Gets the number of observations, of which older ones count less. */
  getWeight(now: number): number {
    return this.totals.count * this.getDecay(now);
  }

  get updatedAt(): number {
    return this.lastAddedAt;
  }

  get mean(): number {
    return this.totals.sum / this.totals.count;
  }

  get variance(): number {
    return Math.max(0, this.totals.sumOfSquares / this.totals.count - this.mean ** 2);
  }

  private getDecay(now: number): number {
    return 0.5 ** (Math.max(0, now - this.lastAddedAt) / this.halfLifeMs);
  }
}
