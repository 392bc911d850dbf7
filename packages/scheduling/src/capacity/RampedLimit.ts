/** A limit on the jobs of an upstream that rises with time, so that few at a time try it again. */
export class RampedLimit {
  /**
   * @param share - Share of the slots from which the limit rises.
   * @param since - Monotonic time in milliseconds at which it begins to rise.
   * @param rampMs - Time in milliseconds in which it would rise from nothing to all slots.
   */
  constructor(
    readonly share: number,
    private readonly since: number,
    private readonly rampMs: number,
  ) {}

  /** Gets the limit in jobs: at least one, so that the upstream can show that it is well again. */
  getJobs(slots: number, now: number): number {
    return Math.max(1, Math.min(slots, Math.floor(this.getShare(now) * slots)));
  }

  isOver(now: number): boolean {
    return this.getShare(now) >= 1;
  }

  getShare(now: number): number {
    return this.share + (now - this.since) / this.rampMs;
  }
}
