import type { Random } from '../load/index.js';
import type { Checks } from '../prove/Checks.js';
import { BOUNDS } from './Bounds.js';
import type { Disturbances } from './Disturbances.js';
import type { Arrival, RequestChecks } from './RequestChecks.js';
import { crashRunner } from './RunnerFleet.js';
import type { RunnerFleet, RunnerLifetime, RunnerSlot } from './RunnerFleet.js';
import { sleepUnless } from './sleepUnless.js';

/** Options of a {@link StatementWorkload}. */
export interface StatementWorkloadOptions {
  random: Random;
  checks: Checks;
  disturbances: Disturbances;
  requests: RequestChecks;
  runners: RunnerFleet;
}

/** A time for which a runner asks with each refusal. */
interface Pause {
  lifetime: RunnerLifetime;
  retryAfterMs: number;
  from: number;
  to: number;
}

const IDLE_MS: [number, number] = [500, 4000];
const DEPARTURE_MS: [number, number] = [3000, 6000];
const PAUSE_MS: [number, number] = [1500, 5000];
const RETRY_AFTER_TENTHS: [number, number] = [8, 40];
/** Disturbances of links, which excuse no request to a runner that has said that it leaves. */
const LINK_KINDS = ['link'];

/** Lets runners say in responses that they leave or want no requests, and checks that this is heeded. */
export class StatementWorkload {
  private readonly departures: RunnerLifetime[] = [];

  private readonly pauses: Pause[] = [];

  constructor(private readonly options: StatementWorkloadOptions) {}

  /** Lets one runner after the other make a statement until the run is over. */
  async run(isOver: () => boolean): Promise<void> {
    const { random, runners } = this.options;
    while (!isOver()) {
      await sleepUnless(isOver, random.nextInteger(...IDLE_MS));
      const slot = random.pick(runners.slots);
      if (random.next() < 0.5) await this.leave(slot, isOver);
      else await this.pause(slot, isOver);
    }
  }

  finish(): void {
    const arrivals = groupBy(this.options.requests.getArrivals(), ({ run }) => run.lifetime);
    this.departures.forEach((lifetime) =>
      groupByEntry(arrivals.get(lifetime)).forEach((own) => this.checkDeparture(own)),
    );
    this.pauses.forEach((pause) =>
      groupByEntry(arrivals.get(pause.lifetime)).forEach((own) => this.checkPause(pause, own)),
    );
  }

  /** Lets a runner say that it leaves, without announcing it, before it is replaced. */
  private async leave(slot: RunnerSlot, isOver: () => boolean): Promise<void> {
    const { random, runners } = this.options;
    const lifetime = slot.current;
    if (!lifetime) return;
    this.departures.push(lifetime);
    lifetime.runner.isLeaving = true;
    await sleepUnless(isOver, random.nextInteger(...DEPARTURE_MS));
    // Another fault may have ended it meanwhile.
    if (slot.current !== lifetime || isOver()) return;
    crashRunner(slot);
    await runners.startRunner(slot);
  }

  private async pause(slot: RunnerSlot, isOver: () => boolean): Promise<void> {
    const { random } = this.options;
    const lifetime = slot.current;
    if (!lifetime) return;
    const retryAfterMs = random.nextInteger(...RETRY_AFTER_TENTHS) * 100;
    const pause = { lifetime, retryAfterMs, from: performance.now(), to: Infinity };
    this.pauses.push(pause);
    lifetime.runner.retryAfterMs = retryAfterMs;
    await sleepUnless(isOver, random.nextInteger(...PAUSE_MS));
    pause.to = performance.now();
    lifetime.runner.retryAfterMs = undefined;
  }

  /** Checks that an entry process sent a runner nothing new after it had passed on its statement. */
  private checkDeparture(arrivals: Arrival[]): void {
    const { checks, disturbances } = this.options;
    const toldAt = Math.min(
      ...arrivals
        .filter(({ run }) => run.record.saysThatItLeaves && run.record.ending === 'completed')
        .map(({ run }) => run.record.endedAt ?? Infinity),
    );
    if (toldAt === Infinity) return;
    const late = arrivals.filter(
      ({ entry, sentAt, run: { record } }) =>
        sentAt > toldAt + BOUNDS.drainMs &&
        disturbances.areInTouch(
          [entry],
          // The contact time that is subtracted does not count here.
          toldAt + BOUNDS.contactMs,
          record.receivedAt,
          LINK_KINDS,
        ),
    );
    checks.check('stated-departure-heeded', late.length === 0, () =>
      late
        .map(({ entry, sentAt, run }) => {
          const lateMs = Math.round(sentAt - toldAt);
          return `${entry} to ${run.lifetime.slot} ${lateMs} ms later`;
        })
        .join(', '),
    );
  }

  /** Checks that an entry process left a runner alone for the time that it asked for. */
  private checkPause({ retryAfterMs, from, to }: Pause, arrivals: Arrival[]): void {
    const { checks, disturbances } = this.options;
    const refusals = arrivals.flatMap(({ run: { record } }) =>
      record.ending === 'rejected' && record.receivedAt >= from && record.receivedAt <= to
        ? [record.endedAt ?? Infinity]
        : [],
    );
    const [first] = arrivals;
    for (const toldAt of refusals) {
      const endsAt = toldAt + retryAfterMs;
      const late = arrivals.filter(
        ({ run: { record } }) =>
          record.receivedAt > toldAt + BOUNDS.pauseSlackMs && record.receivedAt < endsAt,
      );
      const targets = first ? [first.entry, first.run.lifetime.slot] : [];
      const isJudged = disturbances.areInTouch(targets, toldAt, endsAt);
      checks.check(
        'stated-pause-heeded',
        late.length <= BOUNDS.pauseRequests || !isJudged,
        () => `${targets.join(' to ')}: ${late.length} requests in ${retryAfterMs} ms`,
      );
    }
  }
}

function groupByEntry(arrivals: Arrival[] = []): Map<string, Arrival[]> {
  return groupBy(arrivals, ({ entry }) => entry);
}

function groupBy<K>(arrivals: Arrival[], getKey: (arrival: Arrival) => K): Map<K, Arrival[]> {
  const groups = new Map<K, Arrival[]>();
  for (const arrival of arrivals) {
    const key = getKey(arrival);
    groups.set(key, [...(groups.get(key) ?? []), arrival]);
  }
  return groups;
}
