/** Options of {@link SpareCapacity}. */
export interface SpareCapacityOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
}

/** Milliseconds over which arrivals and placements are counted. */
const WINDOW_MS = 2000;

/**
 * Rate at which engines accept more short prompts than arrive. While prompts wait, the rate of
 * placements shows what slots, passes and limits of the engines allow together.
 */
export class SpareCapacity {
  private readonly arrivals: { at: number; priority: number }[] = [];

  private readonly placements: number[] = [];

  constructor(private readonly options: SpareCapacityOptions) {}

  recordArrival(priority: number): void {
    this.removeExpired();
    this.arrivals.push({ at: this.options.now(), priority });
  }

  recordPlacement(): void {
    this.removeExpired();
    this.placements.push(this.options.now());
  }

  /**
   * Gets the milliseconds until a number of prompts are placed that wait behind all new ones which
   * are as urgent.
   */
  getWaitMs(count: number, priority: number): number {
    this.removeExpired();
    const ahead = this.arrivals.filter((arrival) => arrival.priority <= priority).length;
    const spare = Math.max(0, this.placements.length - ahead);
    return (count * WINDOW_MS) / spare;
  }

  private removeExpired(): void {
    const since = this.options.now() - WINDOW_MS;
    while (this.arrivals[0] && this.arrivals[0].at <= since) this.arrivals.shift();
    while (this.placements[0] !== undefined && this.placements[0] <= since) this.placements.shift();
  }
}
