import type { Policy } from './BenchFleet.js';

/** What a bench is run with. */
export interface BenchOptions {
  policy: Policy;
  seed: number;
  /** Length of each phase in seconds. */
  seconds: number;
}

/** One measurement, run for each policy. */
export interface Bench {
  name: string;
  summary: string;
  /** Policies to compare, the baseline first. */
  policies: Policy[];
  run(options: BenchOptions): Promise<Record<string, unknown>>;
}
