/** Limits of the weight store. */
export interface LoadLimits {
  concurrentLoads: number;
  spacingMs: number;
}

/** Time after which a permit counts as used up. */
const PERMIT_MS = 5_000;

/**
 * Paces model loads for the whole fleet. Held by the leader only.
 * @remarks A new leader grants nothing for the length of a permit, so that the permits of the old
 * one are over.
 */
export class LoadPermits {
  private permits: { key: string; endsAt: number }[] = [];

  private nextAt = 0;

  constructor(private readonly now: () => number) {}

  /**
   * Starts anew when this process has become the leader.
   * @param hasEarlierLeader - Whether an earlier leader may have given permits.
   */
  reset(hasEarlierLeader: boolean): void {
    this.permits = [];
    this.nextAt = hasEarlierLeader ? this.now() + PERMIT_MS : 0;
  }

  /** Takes a permit; gets 0 when it is granted, else the milliseconds to wait. */
  acquire(key: string, limits: LoadLimits): number {
    const now = this.now();
    this.permits = this.permits.filter((permit) => permit.endsAt > now && permit.key !== key);
    if (now < this.nextAt) return Math.ceil(this.nextAt - now);
    const [first] = this.permits;
    if (first && this.permits.length >= limits.concurrentLoads) {
      return Math.ceil(first.endsAt - now);
    }
    this.permits.push({ key, endsAt: now + PERMIT_MS });
    this.nextAt = now + limits.spacingMs;
    return 0;
  }

  /** Gives a permit back when the load has ended. */
  release(key: string): void {
    this.permits = this.permits.filter((permit) => permit.key !== key);
  }
}
