import type { UpstreamRecord } from '@azurecart/discovery';
import { NEUTRAL_CAPACITY } from '@azurecart/scheduling';
import type { ObservationTotals } from '@azurecart/scheduling';
import { METHODS } from '../control/messages.js';
import type { DurationsReport, SlowdownsUpdate } from '../control/messages.js';
import type { Link, Notification } from '../links/index.js';

type SchedulerLink = Pick<Link, 'notify' | 'subscribe'>;

/** Options of a {@link SharedCapacity}. */
export interface SharedCapacityOptions {
  schedulers: { getLinks(): SchedulerLink[] };
  dataCentre: string;
  /** Gets the monotonic time in milliseconds. */
  now?: () => number;
}

/** A complete response. */
export interface ObservedDuration {
  upstream: UpstreamRecord;
  /** Requests of one kind are compared with each other only. */
  kind: string;
  ms: number;
}

/** Time in milliseconds after which slowdowns that no scheduler has repeated are discarded. */
const MAX_AGE_MS = 5000;

/**
 * Reports the durations of requests to the active scheduler, which compares upstreams by what all
 * entry processes observe, and holds the slowdowns that it has found.
 */
export class SharedCapacity {
  /** Totals of logarithms since the last report, by service, kind and upstream. */
  private totals = new Map<string, Map<string, Map<string, ObservationTotals>>>();

  private readonly slowdowns = new Map<string, { updatedAt: number; byId: Map<string, number> }>();

  private scheduler: SchedulerLink | undefined;

  private readonly subscribedLinks = new WeakSet<SchedulerLink>();

  private readonly now: () => number;

  constructor(private readonly options: SharedCapacityOptions) {
    this.now = options.now ?? (() => performance.now());
  }

  /**
   * Records a response of an upstream. Those from other data centres are left out: their distances
   * differ, and would be taken for slowness.
   */
  recordDuration({ upstream, kind, ms }: ObservedDuration): void {
    const { id, service, dataCentre } = upstream;
    if (dataCentre !== this.options.dataCentre) return;
    const kinds = getOrCreate(this.totals, service);
    const upstreams = getOrCreate(kinds, kind);
    const { count, sum, sumOfSquares } = upstreams.get(id) ?? NO_TOTALS;
    const value = Math.log(Math.max(1, ms));
    upstreams.set(id, {
      count: count + 1,
      sum: sum + value,
      sumOfSquares: sumOfSquares + value ** 2,
    });
  }

  /** Sends what was recorded since the last report; call it periodically. */
  report(): void {
    [this.scheduler] = this.options.schedulers.getLinks();
    const { scheduler, totals } = this;
    this.totals = new Map();
    if (!scheduler) return;
    this.subscribe(scheduler);
    for (const [service, kinds] of totals)
      scheduler.notify(METHODS.durations, createReport(service, kinds));
  }

  /** Gets the time that an upstream takes as a multiple of that of its peers; 1 if not known. */
  getSlowdown(service: string, upstream: string): number {
    const known = this.slowdowns.get(service);
    if (!known || this.now() - known.updatedAt > MAX_AGE_MS)
      return NEUTRAL_CAPACITY.getSlowdown(upstream);
    return known.byId.get(upstream) ?? NEUTRAL_CAPACITY.getSlowdown(upstream);
  }

  /** Number of upstreams that are slower than their peers. */
  get slowCount(): number {
    const current = [...this.slowdowns.values()].filter(
      ({ updatedAt }) => this.now() - updatedAt <= MAX_AGE_MS,
    );
    return current.flatMap(({ byId }) => [...byId.values()]).filter((each) => each > 1).length;
  }

  private subscribe(link: SchedulerLink): void {
    if (this.subscribedLinks.has(link)) return;
    this.subscribedLinks.add(link);
    link.subscribe((notification) => this.handleNotification(notification));
  }

  private handleNotification({ method, body, link }: Notification): void {
    // A former scheduler has only old observations.
    if (method !== METHODS.slowdowns || link !== this.scheduler) return;
    const { service, slowdowns } = body as SlowdownsUpdate;
    this.slowdowns.set(service, { updatedAt: this.now(), byId: new Map(slowdowns) });
  }
}

const NO_TOTALS: ObservationTotals = { count: 0, sum: 0, sumOfSquares: 0 };

function getOrCreate<V>(map: Map<string, Map<string, V>>, key: string): Map<string, V> {
  const known = map.get(key) ?? new Map<string, V>();
  map.set(key, known);
  return known;
}

function createReport(
  service: string,
  kinds: Map<string, Map<string, ObservationTotals>>,
): DurationsReport {
  const totals = [...kinds.values()].flatMap((upstreams, index) =>
    [...upstreams].map(
      ([upstream, { count, sum, sumOfSquares }]): DurationsReport['totals'][number] => [
        upstream,
        index,
        count,
        sum,
        sumOfSquares,
      ],
    ),
  );
  return { service, kinds: [...kinds.keys()], totals };
}
