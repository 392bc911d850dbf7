/** Options of a {@link BackoffTable}. */
export interface BackoffTableOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
}

interface Backoff {
  /** Monotonic time in milliseconds until which the upstream wants no requests. */
  endsAt: number;
  /** Monotonic time of the last request that was sent after the end. */
  trialAt: number;
}

/** Longest time in milliseconds for which an upstream is left alone, whatever it asks for. */
const MAX_BACKOFF_MS = 60_000;
/** Milliseconds between requests after the end, until one of them is accepted. */
const TRIAL_INTERVAL_MS = 250;

/**
 * Upstreams that have asked this process to send them nothing for a while. Afterwards they get one
 * request at a time until they accept one, so that what was held back does not come at once.
 */
export class BackoffTable {
  private readonly backoffs = new Map<string, Backoff>();

  constructor(private readonly options: BackoffTableOptions) {}

  /** True if no upstream has asked for a pause lately. */
  get isEmpty(): boolean {
    return this.backoffs.size === 0;
  }

  /**
   * Records that an upstream wants no requests.
   * @param delayMs - Milliseconds from now; a shorter time than the one known changes nothing.
   */
  recordRefusal(upstream: string, delayMs: number): void {
    const now = this.options.now();
    const known = this.backoffs.get(upstream)?.endsAt ?? -Infinity;
    const endsAt = Math.max(known, now + Math.min(MAX_BACKOFF_MS, Math.max(0, delayMs)));
    this.backoffs.set(upstream, { endsAt, trialAt: -Infinity });
  }

  /** Gets the milliseconds until the upstream may get a request; 0 if it may now. */
  getWaitMs(upstream: string): number {
    const backoff = this.backoffs.get(upstream);
    if (!backoff) return 0;
    const freeAt = Math.max(backoff.endsAt, backoff.trialAt + TRIAL_INTERVAL_MS);
    return Math.max(0, freeAt - this.options.now());
  }

  /** Records a request to an upstream. */
  recordSend(upstream: string): void {
    const backoff = this.backoffs.get(upstream);
    const now = this.options.now();
    if (backoff && now >= backoff.endsAt) backoff.trialAt = now;
  }

  /** Records an answer other than a refusal; one to a request from before the pause changes nothing. */
  recordAcceptance(upstream: string): void {
    const backoff = this.backoffs.get(upstream);
    if (backoff && this.options.now() >= backoff.endsAt) this.backoffs.delete(upstream);
  }

  /** Removes the upstreams that are no longer known. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const upstream of this.backoffs.keys())
      if (!isKnown(upstream)) this.backoffs.delete(upstream);
  }
}
