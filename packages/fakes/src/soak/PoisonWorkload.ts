import type { Random } from '../load/index.js';
import type { Checks } from '../prove/Checks.js';
import { BOUNDS } from './Bounds.js';
import { CORE } from './Disturbances.js';
import type { Disturbances } from './Disturbances.js';
import type { RequestChecks } from './RequestChecks.js';
import type { RunnerFleet } from './RunnerFleet.js';
import { sleepUnless } from './sleepUnless.js';

/** Options of a {@link PoisonWorkload}. */
export interface PoisonWorkloadOptions {
  random: Random;
  checks: Checks;
  disturbances: Disturbances;
  requests: RequestChecks;
  runners: RunnerFleet;
}

const PAUSE_MS: [number, number] = [2000, 8000];
const DURATION_MS: [number, number] = [6000, 15_000];
/** Share of the prompts that have the deadly part while there is one. */
const DEADLY_SHARE: [number, number] = [0.03, 0.3];
const FIRST_PARTS = 6;
/** Crashes after which all entry processes have to learn of a part. */
const KNOWN_CRASHES = 5;

/** Gives the prompts of the clients shared parts, some of which end runners for a while. */
export class PoisonWorkload {
  private readonly poisoned: string[] = [];

  private current: { part: string; first: string; share: number } | undefined;

  constructor(private readonly options: PoisonWorkloadOptions) {}

  /** Gets the parts that a new prompt shares with others. */
  getSharedParts(): string[] {
    const { random } = this.options;
    const first = this.pickFirst();
    if (!this.current || random.next() >= this.current.share) return [first];
    return [this.current.first, this.current.part];
  }

  /** Poisons one part after the other until the run is over. */
  async run(isOver: () => boolean): Promise<void> {
    const { random, runners } = this.options;
    while (!isOver()) {
      await sleepUnless(isOver, random.nextInteger(...PAUSE_MS));
      const part = `dead${this.poisoned.length}`;
      const [least, most] = DEADLY_SHARE;
      const share = least + random.next() * (most - least);
      this.poisoned.push(part);
      runners.deadlyParts.add(part);
      this.current = { part, first: this.pickFirst(), share };
      await sleepUnless(isOver, random.nextInteger(...DURATION_MS));
      this.current = undefined;
    }
  }

  /** Checks how many prompts with a poisoned part were sent once it had to be known. */
  finish(): void {
    const { requests, runners, disturbances, checks } = this.options;
    const arrivals = requests.getArrivals();
    for (const part of this.poisoned) {
      const crashes = runners.crashes.filter(({ parts }) => parts.includes(`${part}:`));
      const fifthAt = crashes[KNOWN_CRASHES - 1]?.at ?? Infinity;
      const late = arrivals.filter(({ entry, request, run: { record } }) => {
        if (!request.parts?.includes(part)) return false;
        if (record.receivedAt <= fifthAt + BOUNDS.contactMs) return false;
        return disturbances.areInTouch([entry, CORE], record.receivedAt, record.receivedAt);
      });
      checks.check(
        'poisoned-part-held-back',
        late.length <= BOUNDS.poisonedRequests,
        () => `${part}: ${late.length} requests, ${crashes.length} runners ended`,
      );
    }
  }

  private pickFirst(): string {
    return `first${this.options.random.nextInteger(0, FIRST_PARTS - 1)}`;
  }
}
