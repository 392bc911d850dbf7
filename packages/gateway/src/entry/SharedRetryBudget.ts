/** How far retries may go beyond first attempts, for one service over all entry processes. */
export interface SharedRetryBudgetOptions {
  ratio: number;
  windowMs: number;
  /** Retries per window beside the ratio, for all entry processes together. */
  extra: number;
  getEntryCount: () => number;
  now?: () => number;
}

/** Share of the budget that is used; the rest covers windows that slide between processes. */
const SAFE_SHARE = 0.6;

/** One entry process's part of a service's retry budget. */
export class SharedRetryBudget {
  private requests: number[] = [];

  private retries: number[] = [];

  private readonly now: () => number;

  constructor(private readonly options: SharedRetryBudgetOptions) {
    this.now = options.now ?? (() => performance.now());
  }

  /** Counts a client's request. */
  addRequest(): void {
    this.requests.push(this.now());
  }

  /** Takes one retry; gets false when this process has used its part. */
  takeRetry(): boolean {
    const { ratio, windowMs, extra, getEntryCount } = this.options;
    const from = this.now() - windowMs;
    this.requests = this.requests.filter((at) => at >= from);
    this.retries = this.retries.filter((at) => at >= from);
    const share = Math.max(1, extra / Math.max(1, getEntryCount()));
    const limit = SAFE_SHARE * (ratio * this.requests.length + share);
    if (this.retries.length + 1 > Math.max(1, limit)) return false;
    this.retries.push(this.now());
    return true;
  }
}
