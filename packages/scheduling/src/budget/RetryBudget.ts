/** How far retries may go beyond first attempts. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  ratio?: number;
  /** Most retries that can be saved up. */
  capacity?: number;
}

const RATIO = 0.1;
const CAPACITY = 20;

/** Limits retries to a share of the first attempts, so that a fault does not multiply the load. */
export class RetryBudget {
  private tokens: number;

  private readonly ratio: number;

  private readonly capacity: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? RATIO;
    this.capacity = options.capacity ?? CAPACITY;
    this.tokens = this.capacity;
  }

  /** Counts a first attempt. */
  addAttempt(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.ratio);
  }

  /** Takes one retry; gets false when the budget is used up. */
  takeRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
