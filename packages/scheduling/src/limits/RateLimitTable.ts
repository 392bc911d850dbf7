import type { RateLimit } from './RateLimit.js';

/** Options of a {@link RateLimitTable}. */
export interface RateLimitTableOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
}

interface LimitRecord {
  bornAt: number;
  requestsPerSecond: number | undefined;
  /** Monotonic time at which the value was first seen. */
  seenAt: number;
  /** Monotonic time at which this process learned of it. */
  storedAt: number;
}

/** Milliseconds for which the limit of an upstream that is not known, or not yet, is kept. */
const UNKNOWN_TTL_MS = 60_000;

/**
 * Limits that upstreams have named in their responses to any process. The latest response of the
 * latest incarnation decides, so merging does not depend on the order.
 */
export class RateLimitTable {
  private readonly records = new Map<string, LimitRecord>();

  constructor(private readonly options: RateLimitTableOptions) {}

  /**
   * Records what a response says.
   * @param requestsPerSecond - Undefined if the response names no limit.
   * @returns True if other processes have to learn of it.
   */
  record(upstream: string, bornAt: number, requestsPerSecond: number | undefined): boolean {
    const known = this.records.get(upstream);
    if (known && known.bornAt > bornAt) return false;
    const isSame = known?.bornAt === bornAt && known.requestsPerSecond === requestsPerSecond;
    if (isSame || (!known && requestsPerSecond === undefined)) return false;
    const now = this.options.now();
    this.records.set(upstream, { bornAt, requestsPerSecond, seenAt: now, storedAt: now });
    return true;
  }

  /** Gets the limit of an upstream in requests per second; undefined if it has none. */
  getLimit(upstream: string): number | undefined {
    return this.records.get(upstream)?.requestsPerSecond;
  }

  /** Gets the records of the given upstreams, or of all. */
  getLimits(upstreams: Iterable<string> = this.records.keys()): RateLimit[] {
    const now = this.options.now();
    return [...upstreams].flatMap((upstream) => {
      const record = this.records.get(upstream);
      if (!record) return [];
      const { bornAt, requestsPerSecond, seenAt } = record;
      return [{ upstream, bornAt, requestsPerSecond, ageMs: now - seenAt }];
    });
  }

  /**
   * Adds the records of another process.
   * @returns The upstreams whose records have changed.
   */
  merge(limits: RateLimit[]): string[] {
    const now = this.options.now();
    return limits
      .filter(({ upstream, bornAt, requestsPerSecond, ageMs }) => {
        const seenAt = now - Math.max(0, ageMs);
        const known = this.records.get(upstream);
        const isLater =
          !known || bornAt > known.bornAt || (bornAt === known.bornAt && seenAt > known.seenAt);
        if (!isLater) return false;
        this.records.set(upstream, { bornAt, requestsPerSecond, seenAt, storedAt: now });
        // A copy that comes back is younger by the time it took, which must not go round.
        return known?.bornAt !== bornAt || known.requestsPerSecond !== requestsPerSecond;
      })
      .map(({ upstream }) => upstream);
  }

  /**
   * Removes the records of upstreams that are not known for long. A process that has just started
   * may learn of a limit before it learns of the upstream.
   */
  removeExpired(isKnown: (upstream: string) => boolean): void {
    const now = this.options.now();
    for (const [upstream, { storedAt }] of this.records)
      if (!isKnown(upstream) && now - storedAt > UNKNOWN_TTL_MS) this.records.delete(upstream);
  }
}
