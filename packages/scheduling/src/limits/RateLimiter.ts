/** Options of a {@link RateLimiter}. */
export interface RateLimiterOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  /** Gets the limit of an upstream in requests per second; undefined if it has none. */
  getLimit: (upstream: string) => number | undefined;
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

  constructor(private readonly options: RateLimiterOptions) {}

  /**
   * Assumes that others have used up the limits until now. To be called by a process that begins to
   * decide, as it does not know what was sent shortly before.
   */
  assumeUsed(): void {
    this.unknownBefore = this.options.now();
  }

  getLimit(upstream: string): number | undefined {
    return this.options.getLimit(upstream);
  }

  /**
   * Gets the milliseconds until another request may be sent; 0 if it may be now.
   * @param isPaced - True for a request beside which more urgent ones are expected.
   */
  getWaitMs(upstream: string, isPaced = false): number {
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
