/** Options of a {@link RateLimiter}. */
export interface RateLimiterOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  /** Gets the limit that an upstream has named, in requests per second; undefined if it has none. */
  getLimit: (upstream: string) => number | undefined;
  /** Gets the requests per second that a cold upstream bears; undefined if it is not cold. */
  getColdLimit?: (upstream: string) => number | undefined;
  /**
   * Gets the share of cold limits that this process may use, for one that may decide beside another.
   * The default is all of them.
   */
  getColdShare?: () => number;
}

interface Window {
  lengthMs: number;
  /** Requests allowed in the window, in terms of what the limit allows. */
  share: number;
}

/** The short window keeps what has waited from being sent at once when the long one opens. */
const WINDOWS: Window[] = [
  { lengthMs: 4000, share: 1 },
  { lengthMs: 1000, share: 2 },
];
/** Windows of less urgent requests, which leave room for more urgent ones that come later. */
const PACED_WINDOWS: Window[] = [
  { lengthMs: 4000, share: 0.8 },
  { lengthMs: 1000, share: 1.25 },
];
/** Window of cold upstreams, which fall over if they get more in any second. */
const COLD_WINDOW_MS = 1000;
/**
 * Share of a cold limit that is used while a predecessor may have used it. The sum stays within one
 * and a half times the limit, also if the predecessor used all of it just before it ended.
 */
const SUCCESSOR_SHARE = 0.5;
/** Milliseconds for which sends are remembered. */
const MEMORY_MS = Math.max(...WINDOWS.map(({ lengthMs }) => lengthMs));
const MS_PER_SECOND = 1000;
/** Limit below which the time between two requests is bounded by the window. */
const MIN_LIMIT = 0.1;

/**
 * Decides when requests may be sent to upstreams with a limit.
 * @remarks At least one request a window is allowed, also with a limit of 0: only the response to a
 * request can tell that a limit was lifted. All sends are counted, so that the limit holds from the
 * moment at which it is named.
 */
export class RateLimiter {
  /** Monotonic times of the sends to each upstream, in ascending order. */
  private readonly sends = new Map<string, number[]>();

  /** Monotonic time before which sends are not known completely. */
  private unknownBefore = -Infinity;

  /** The same for the windows of cold upstreams. */
  private unknownColdBefore = -Infinity;

  private decidedAt = -Infinity;

  constructor(private readonly options: RateLimiterOptions) {}

  /**
   * Records that this process decides. One that has not decided for longer than a window may have
   * had a predecessor in it, and assumes that the limits were used up.
   */
  recordDecision(): void {
    const now = this.options.now();
    const gapMs = now - this.decidedAt;
    if (gapMs > MEMORY_MS) this.unknownBefore = now;
    if (gapMs > COLD_WINDOW_MS) this.unknownColdBefore = now;
    this.decidedAt = now;
  }

  /**
   * Assumes that others have used up the limits until now. To be called by a process that begins to
   * decide, as it does not know what was sent shortly before.
   */
  assumeUsed(): void {
    this.unknownBefore = this.options.now();
    this.unknownColdBefore = this.unknownBefore;
  }

  /** Gets the limit in force: the lower one of the named limit and that of a cold upstream. */
  getLimit(upstream: string): number | undefined {
    const limits = [this.getNamedLimit(upstream), this.options.getColdLimit?.(upstream)];
    const known = limits.filter((limit) => limit !== undefined);
    return known.length > 0 ? Math.min(...known) : undefined;
  }

  getNamedLimit(upstream: string): number | undefined {
    return this.options.getLimit(upstream);
  }

  /** Gets the used part of what a cold upstream bears in a second, 0 to 1; 0 if it is not cold. */
  getColdUse(upstream: string): number {
    const limit = this.options.getColdLimit?.(upstream);
    if (limit === undefined) return 0;
    const now = this.options.now();
    const { length } = this.getRecent(upstream, now).filter((at) => at > now - COLD_WINDOW_MS);
    return Math.min(1, length / Math.max(1, limit));
  }

  /**
   * Gets the milliseconds until another request may be sent; 0 if it may be now.
   * @param isPaced - True for a request beside which more urgent ones are expected.
   */
  getWaitMs(upstream: string, isPaced = false): number {
    return Math.max(this.getNamedWaitMs(upstream, isPaced), this.getColdWaitMs(upstream));
  }

  private getNamedWaitMs(upstream: string, isPaced: boolean): number {
    const limit = this.options.getLimit(upstream);
    if (limit === undefined) return 0;
    const now = this.options.now();
    const sends = this.getRecent(upstream, now);
    const waits = (isPaced ? PACED_WINDOWS : WINDOWS).map(({ lengthMs, share }) => {
      const allowed = Math.max(1, Math.round((limit * share * lengthMs) / MS_PER_SECOND));
      const blocking = sends.at(-allowed);
      if (blocking !== undefined && blocking + lengthMs > now) return blocking + lengthMs - now;
      // What a predecessor may have sent counts as spread evenly over its part of the window.
      const since = now - lengthMs;
      const unknownMs = this.unknownBefore - since;
      if (unknownMs <= 0) return 0;
      const known = sends.filter((at) => at > since);
      const before = known.filter((at) => at <= this.unknownBefore).length;
      const assumed = Math.max(before, (limit * share * unknownMs) / MS_PER_SECOND);
      const isUsed = assumed + known.length - before + 1 > allowed;
      return isUsed ? Math.min(unknownMs, MS_PER_SECOND / Math.max(limit, MIN_LIMIT)) : 0;
    });
    return Math.max(...waits);
  }

  private getColdWaitMs(upstream: string): number {
    const { getColdLimit, getColdShare = () => 1 } = this.options;
    const limit = getColdLimit?.(upstream);
    if (limit === undefined) return 0;
    const now = this.options.now();
    const since = now - COLD_WINDOW_MS;
    const sends = this.getRecent(upstream, now).filter((at) => at > since);
    const allowed = Math.max(1, Math.floor(limit * getColdShare()));
    const blocking = sends.at(-allowed);
    if (blocking !== undefined) return blocking - since;
    const unknownMs = this.unknownColdBefore - since;
    if (unknownMs <= 0) return 0;
    const own = sends.filter((at) => at >= this.unknownColdBefore).length;
    const perMs = (limit * Math.min(SUCCESSOR_SHARE, getColdShare())) / COLD_WINDOW_MS;
    const freeAt = this.unknownColdBefore + own / perMs;
    return Math.max(0, Math.min(unknownMs, freeAt - now));
  }

  /**
   * Counts a request as sent.
   * @param ageMs - Milliseconds since then, for one of which this process has just learned.
   */
  recordSend(upstream: string, ageMs = 0): void {
    const now = this.options.now();
    const sends = this.getRecent(upstream, now);
    if (ageMs < MEMORY_MS) sends.push(now - Math.max(0, ageMs));
    sends.sort((a, b) => a - b);
    this.sends.set(upstream, sends);
  }

  /** Removes what is no longer remembered. */
  removeExpired(): void {
    const now = this.options.now();
    for (const upstream of this.sends.keys())
      if (this.getRecent(upstream, now).length === 0) this.sends.delete(upstream);
  }

  private getRecent(upstream: string, now: number): number[] {
    const sends = this.sends.get(upstream) ?? [];
    const firstRecent = sends.findIndex((at) => at > now - MEMORY_MS);
    if (firstRecent === -1) sends.length = 0;
    else sends.splice(0, firstRecent);
    return sends;
  }
}
