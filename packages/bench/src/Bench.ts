import type { Policy } from './BenchFleet.js';

/** Options of a benchmark run. */
export interface BenchOptions {
  policy: Policy;
  seed: number;
  /** Duration of each phase in seconds; `control` uses a quarter of it, `quorum` none. */
  seconds: number;
}

/** A benchmark, run once per policy. */
export interface Bench {
  name: string;
  /** One-line description for `--list`. */
  summary: string;
  /** Policies to compare, the baseline first. */
  policies: Policy[];
  run(options: BenchOptions): Promise<Record<string, unknown>>;
}
