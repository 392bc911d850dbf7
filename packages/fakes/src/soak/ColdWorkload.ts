import type { Random } from '../load/index.js';
import type { Checks } from '../prove/Checks.js';
import { BOUNDS } from './Bounds.js';
import { COLD_PER_SECOND, COLD_SECONDS } from './configuration.js';
import type { Disturbances } from './Disturbances.js';
import type { RequestChecks } from './RequestChecks.js';
import { crashRunner } from './RunnerFleet.js';
import type { RunnerFleet, RunnerLifetime } from './RunnerFleet.js';
import { sleepUnless } from './sleepUnless.js';

/** Options of a {@link ColdWorkload}. */
export interface ColdWorkloadOptions {
  random: Random;
  checks: Checks;
  disturbances: Disturbances;
  requests: RequestChecks;
  runners: RunnerFleet;
}

const PAUSE_MS: [number, number] = [2000, 6000];
const DOWNTIME_MS: [number, number] = [200, 1500];
const MAX_COUNT = 3;
const COLD_MS = COLD_SECONDS * 1000;
const WINDOW_MS = 1000;

/** Lets runners crash and come back cold together, and checks what these get while they are cold. */
export class ColdWorkload {
  private readonly returns: { lifetime: RunnerLifetime; until: number }[] = [];

  constructor(private readonly options: ColdWorkloadOptions) {}

  async run(isOver: () => boolean): Promise<void> {
    const { random } = this.options;
    while (!isOver()) {
      await sleepUnless(isOver, random.nextInteger(...PAUSE_MS));
      const count = random.nextInteger(1, MAX_COUNT);
      const keepsIds = random.next() < 0.5;
      const downtimeMs = random.nextInteger(...DOWNTIME_MS);
      if (!isOver()) await this.restart(count, keepsIds, downtimeMs, isOver);
    }
  }

  /** Checks that no cold runner got more in a second than it bears, whoever sent it. */
  finish(): void {
    const { requests, disturbances, checks } = this.options;
    const arrivals = requests.getArrivals();
    for (const { lifetime, until } of this.returns) {
      const times = arrivals
        .filter(({ run }) => run.lifetime === lifetime)
        .map(({ run }) => run.record.receivedAt)
        .filter((at) => at < until)
        // A link that was held up delivers at once what was sent over a longer time.
        .filter((at) => disturbances.areInTouch([lifetime.slot], at, at));
      const most = Math.max(
        0,
        ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length),
      );
      const allowed = BOUNDS.coldFactor * COLD_PER_SECOND + BOUNDS.coldExtra;
      checks.check('cold-runner-spared-by-all', most <= allowed, () => {
        const offsets = times.map((at) => Math.round(at - until + COLD_MS)).join(', ');
        return `${lifetime.slot}: ${most} requests in a second, ms after its start: ${offsets}`;
      });
    }
  }

  private async restart(
    count: number,
    keepsIds: boolean,
    downtimeMs: number,
    isOver: () => boolean,
  ): Promise<void> {
    const { random, runners } = this.options;
    const first = random.nextInteger(0, runners.slots.length - 1);
    const slots = Array.from(
      { length: count },
      (_, index) => runners.slots[(first + index) % runners.slots.length],
    );
    const crashed = slots.flatMap((slot) =>
      slot?.current ? [{ slot, id: slot.current.runner.id }] : [],
    );
    crashed.forEach(({ slot }) => crashRunner(slot));
    await sleepUnless(isOver, downtimeMs);
    if (isOver()) return;
    await Promise.all(
      crashed.map(async ({ slot, id }) => {
        // Another fault may have started one since.
        if (slot.current) return;
        const until = performance.now() + COLD_MS;
        const lifetime = await runners.startRunner(slot, keepsIds ? id : undefined, COLD_MS);
        this.returns.push({ lifetime, until });
      }),
    );
  }
}
