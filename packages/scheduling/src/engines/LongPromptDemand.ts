/** Options of {@link LongPromptDemand}. */
export interface LongPromptDemandOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
}

/** Milliseconds over which arrivals are counted. */
const WINDOW_MS = 4000;

/** Number of engines that the long prompts which arrive occupy on average. */
export class LongPromptDemand {
  private readonly arrivals: { at: number; engineMs: number }[] = [];

  private totalMs = 0;

  private readonly startedAt: number;

  constructor(private readonly options: LongPromptDemandOptions) {
    this.startedAt = options.now();
  }

  /** @param engineMs - Milliseconds for which the prompt occupies engines, in total. */
  recordArrival(engineMs: number): void {
    this.arrivals.push({ at: this.options.now(), engineMs });
    this.totalMs += engineMs;
  }

  /** Gets the number of engines; infinite until arrivals have been counted for long enough. */
  getEngineCount(): number {
    const since = this.options.now() - WINDOW_MS;
    if (since < this.startedAt) return Infinity;
    while (this.arrivals[0] && this.arrivals[0].at <= since)
      this.totalMs -= this.arrivals.shift()?.engineMs ?? 0;
    return this.totalMs / WINDOW_MS;
  }

  /**
   * Gets the time of the largest prompts that a number of engines can serve beside all smaller ones.
   */
  getLargestMs(engineCount: number): number {
    const demand = this.getEngineCount();
    if (demand <= engineCount || demand === Infinity) return Infinity;
    let leftMs = engineCount * WINDOW_MS;
    let largestMs = 0;
    for (const { engineMs } of [...this.arrivals].sort((x, y) => x.engineMs - y.engineMs)) {
      leftMs -= engineMs;
      if (leftMs < 0) break;
      largestMs = engineMs;
    }
    return largestMs;
  }
}
