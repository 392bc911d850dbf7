/** Limits on loading models from the weight store. */
export interface LoadLimits {
  concurrentLoads: number;
  /** Least time between the starts of two loads. */
  spacingMs: number;
}

/**
 * Milliseconds after which a permit expires when it is not released. Exceeds the time limit of a load
 * (`LOAD_TIMEOUT_MS` of the engine client, 10 s), so that no load outlasts its permit.
 */
const PERMIT_TTL_MS = 11_000;

/**
 * Limits the concurrency and the rate of model loads across all engines. Kept by the leader only.
 * @remarks A new leader grants no permit for the lifetime of one, so that all permits of the
 * previous leader have expired.
 */
export class LoadPermits {
  private permits: { key: string; expiresAt: number }[] = [];

  private nextGrantAt = 0;

  constructor(private readonly now: () => number) {}

  /**
   * Removes all permits when this process has become the leader.
   * @param hasEarlierLeader - Whether an earlier leader may have granted permits.
   */
  reset(hasEarlierLeader: boolean): void {
    this.permits = [];
    this.nextGrantAt = hasEarlierLeader ? this.now() + PERMIT_TTL_MS : 0;
  }

  /**
   * Requests a permit; an earlier permit of the same key is released first.
   * @returns 0 when the permit is granted, otherwise the milliseconds to wait.
   */
  acquire(key: string, limits: LoadLimits): number {
    const now = this.now();
    this.permits = this.permits.filter((permit) => permit.expiresAt > now && permit.key !== key);
    if (now < this.nextGrantAt) return Math.ceil(this.nextGrantAt - now);
    const [oldest] = this.permits;
    if (oldest && this.permits.length >= limits.concurrentLoads) {
      return Math.ceil(oldest.expiresAt - now);
    }
    this.permits.push({ key, expiresAt: now + PERMIT_TTL_MS });
    this.nextGrantAt = now + limits.spacingMs;
    return 0;
  }

  /** Releases a permit when the load has ended. */
  release(key: string): void {
    this.permits = this.permits.filter((permit) => permit.key !== key);
  }
}
