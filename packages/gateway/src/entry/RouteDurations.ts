/** Limits of a {@link RouteDurations}. */
export interface RouteDurationsOptions {
  /** Number of recent requests that count for each route. */
  windowSize?: number;
  /** Number of requests that a route needs before its durations are known. */
  minSamples?: number;
  /** Number of routes that are remembered. */
  maxRoutes?: number;
}

const WINDOW_SIZE = 32;
const MIN_SAMPLES = 4;
const MAX_ROUTES = 1000;
/** Share of the recent requests that a usual duration covers. */
const USUAL_SHARE = 0.9;

/** Durations of the recently completed requests of each route. */
export class RouteDurations {
  /** Durations by name of the route; the route that was used last is the last key. */
  private readonly durations = new Map<string, number[]>();

  constructor(private readonly options: RouteDurationsOptions = {}) {}

  /** Records a request that took the given number of milliseconds. */
  record(route: string, durationMs: number): void {
    const { windowSize = WINDOW_SIZE, maxRoutes = MAX_ROUTES } = this.options;
    const recent = [...(this.durations.get(route) ?? []), durationMs].slice(-windowSize);
    this.durations.delete(route);
    this.durations.set(route, recent);
    const [oldest] = this.durations.keys();
    if (this.durations.size > maxRoutes && oldest !== undefined) this.durations.delete(oldest);
  }

  /**
   * Gets the time in milliseconds within which most recent requests of a route were completed;
   * undefined with too few samples.
   */
  getUsualMs(route: string): number | undefined {
    const recent = this.durations.get(route) ?? [];
    if (recent.length < (this.options.minSamples ?? MIN_SAMPLES)) return undefined;
    const sorted = [...recent].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * USUAL_SHARE) - 1];
  }
}
