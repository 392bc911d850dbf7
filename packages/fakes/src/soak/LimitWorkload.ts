import type { Random } from '../load/index.js';
import type { Checks } from '../prove/Checks.js';
import { BOUNDS } from './Bounds.js';
import { CORE } from './Disturbances.js';
import type { Disturbances } from './Disturbances.js';
import type { RequestChecks } from './RequestChecks.js';
import type { RunnerFleet, RunnerLifetime } from './RunnerFleet.js';
import { sleepUnless } from './sleepUnless.js';

/** Options of a {@link LimitWorkload}. */
export interface LimitWorkloadOptions {
  random: Random;
  checks: Checks;
  disturbances: Disturbances;
  requests: RequestChecks;
  runners: RunnerFleet;
}

/** A limit that one lifetime of a runner names for a while. */
interface Limit {
  lifetime: RunnerLifetime;
  requestsPerSecond: number;
  from: number;
  to: number;
}

const PAUSE_MS: [number, number] = [500, 4000];
const DURATION_MS: [number, number] = [5000, 12_000];
const LIMIT_TENTHS: [number, number] = [3, 60];
const WINDOW_MS = 4000;

/** Lets runners name limits in their answers, and checks that all entry processes together keep them. */
export class LimitWorkload {
  private readonly limits: Limit[] = [];

  constructor(private readonly options: LimitWorkloadOptions) {}

  /** Limits one runner after the other until the run is over. */
  async run(isOver: () => boolean): Promise<void> {
    const { random, runners } = this.options;
    while (!isOver()) {
      await sleepUnless(isOver, random.nextInteger(...PAUSE_MS));
      const lifetime = random.pick(runners.slots).current;
      if (!lifetime) continue;
      const requestsPerSecond = random.nextInteger(...LIMIT_TENTHS) / 10;
      const limit = { lifetime, requestsPerSecond, from: performance.now(), to: Infinity };
      this.limits.push(limit);
      lifetime.runner.requestsPerSecond = requestsPerSecond;
      await sleepUnless(isOver, random.nextInteger(...DURATION_MS));
      limit.to = performance.now();
      lifetime.runner.requestsPerSecond = undefined;
    }
  }

  /** Checks what the runners got while they named a limit that had to be known. */
  finish(): void {
    const { requests, disturbances, checks } = this.options;
    const arrivals = requests.getArrivals();
    for (const { lifetime, requestsPerSecond, from, to } of this.limits) {
      const times = arrivals
        .filter(({ entry, run }) => {
          const { receivedAt } = run.record;
          if (run.lifetime !== lifetime) return false;
          if (receivedAt < from + BOUNDS.contactMs || receivedAt > to) return false;
          return disturbances.areInTouch([entry, CORE, lifetime.slot], receivedAt, receivedAt);
        })
        .map(({ run }) => run.record.receivedAt);
      const most = Math.max(
        0,
        ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length),
      );
      const allowed =
        (BOUNDS.limitFactor * requestsPerSecond * WINDOW_MS) / 1000 + BOUNDS.limitExtra;
      checks.check(
        'limit-kept-by-all',
        most <= allowed,
        () => `${lifetime.slot}: ${most} requests in 4 s at ${requestsPerSecond} a second`,
      );
    }
  }
}
