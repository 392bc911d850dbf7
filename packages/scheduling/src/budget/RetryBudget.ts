/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries added to the budget per first attempt. */
  ratio?: number;
  /** Maximum number of retries that can accumulate. */
  capacity?: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_CAPACITY = 20;

/**
 * Limits retries to a share of the first attempts, so that a fault does not multiply the load. The
 * budget starts full.
 */
export class RetryBudget {
  private tokens: number;

  private readonly ratio: number;

  private readonly capacity: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? DEFAULT_RATIO;
    this.capacity = options.capacity ?? DEFAULT_CAPACITY;
    this.tokens = this.capacity;
  }

  /** Records a first attempt. */
  addAttempt(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.ratio);
  }

  /** Takes one retry from the budget; returns false when it is exhausted. */
  takeRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
