/** Limits of the retries of one service over all entry processes. */
export interface RetryBudgetShareOptions {
  /** Retries allowed per request. */
  ratio: number;
  windowMs: number;
  /** Additional retries allowed per window, for all entry processes together. */
  extra: number;
  getEntryCount: () => number;
  now?: () => number;
}

/**
 * Share of the budget that is used. The rest is a margin: the sliding windows of the processes are
 * not aligned, so the retries within any one window may exceed what each process counts in its own.
 */
const USABLE_SHARE = 0.6;

/** The part of a service's retry budget that one entry process may use. */
export class RetryBudgetShare {
  private requests: number[] = [];

  private retries: number[] = [];

  private readonly now: () => number;

  constructor(private readonly options: RetryBudgetShareOptions) {
    this.now = options.now ?? (() => performance.now());
  }

  /** Counts a client's request. */
  addRequest(): void {
    this.requests.push(this.now());
  }

  /**
   * Takes one retry; false if this process has used its part of the budget.
   * @remarks A process may always take one retry per window, and its part of `extra` is at least 1,
   * even if `ratio` and `extra` are 0. The sum over all processes may therefore exceed the budget.
   */
  takeRetry(): boolean {
    const { ratio, windowMs, extra, getEntryCount } = this.options;
    const windowStart = this.now() - windowMs;
    this.requests = this.requests.filter((at) => at >= windowStart);
    this.retries = this.retries.filter((at) => at >= windowStart);
    const share = Math.max(1, extra / Math.max(1, getEntryCount()));
    const limit = USABLE_SHARE * (ratio * this.requests.length + share);
    if (this.retries.length + 1 > Math.max(1, limit)) return false;
    this.retries.push(this.now());
    return true;
  }

  /** Gives back the last retry taken, which was not made. */
  returnRetry(): void {
    this.retries.pop();
  }
}
