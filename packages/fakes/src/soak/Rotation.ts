import { setTimeout as sleep } from 'node:timers/promises';
import type { GatewayProcess } from '../harness/index.js';
import type { Random } from '../load/index.js';

const POLL_INTERVAL_MS = 1000;
const MAX_MISSES = 2;

/** Picks entry processes for new connections by their readiness checks, as a load balancer does. */
export class Rotation {
  private readonly misses = new Map<GatewayProcess, number>();

  constructor(
    private readonly entries: GatewayProcess[],
    private readonly random: Random,
  ) {}

  /** Polls until the run is over. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      this.entries.forEach((entry) => {
        isReady(entry).then((ready) =>
          this.misses.set(entry, ready ? 0 : (this.misses.get(entry) ?? 0) + 1),
        );
      });
      await sleep(POLL_INTERVAL_MS);
    }
  }

  pick(): GatewayProcess {
    const ready = this.entries.filter((entry) => (this.misses.get(entry) ?? 0) < MAX_MISSES);
    return this.random.pick(ready.length > 0 ? ready : this.entries);
  }
}

/** Tells whether the readiness check of an entry process succeeds within a second. */
export async function isReady({ readiness }: GatewayProcess): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(POLL_INTERVAL_MS);
    return (await fetch(`http://${readiness}/api/readyz`, { signal })).ok;
  } catch {
    return false;
  }
}
