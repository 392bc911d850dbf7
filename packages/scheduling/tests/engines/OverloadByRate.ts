import { RateLimiter } from '../../src/index.js';
import type { EngineDecision, EngineDescriptor, EngineJob } from '../../src/index.js';
import { EngineSimulation } from './EngineSimulation.js';
import type { Arrival, SchedulingPolicy } from './EngineSimulation.js';

/** Requests of one kind in a load; `perSecond` gets the rate at a time in milliseconds. */
interface Kind {
  name: string;
  perSecond: (at: number) => number;
  events: number;
  fields: Partial<EngineJob>;
}

/** What a policy under this load needs. */
export interface OverloadPolicyOptions {
  engines: EngineDescriptor[];
  now: () => number;
  onDecided: (id: string, decision: EngineDecision) => void;
  limiter: RateLimiter;
}

/** A policy that queues jobs and decides on them again at an interval. */
export interface OverloadPolicy extends SchedulingPolicy {
  decideQueued(): void;
}

/** Result of a load: shares of requests on time. */
export interface OverloadResult {
  byKind: Map<string, number>;
  /** Least share of short prompts on time among windows of two seconds. */
  worstWindow: number;
}

const LIMITED_COUNT = 19;
const FREE_COUNT = 2;
const CAPACITY = 11;
const LOAD_MS = 24_000;
const WINDOW_MS = 2000;
const MS_PER_SECOND = 1000;
/** A wave of short prompts that exceeds what the engines accept. */
const WAVE = { from: 8000, to: 14_000, perSecond: 45 };
const USUAL_PER_SECOND = 22;

/** Name of the kind of short prompts. */
export const SHORT = 'short';
/** Time from the placement of a short prompt to its first event, at least. */
const LEAST_FIRST_EVENT_MS = 80;
/** Time that a short prompt occupies a slot, at least. */
const LEAST_SLOT_MS = 1400;

const isInWave = (at: number): boolean => at >= WAVE.from && at < WAVE.to;

const KINDS: Kind[] = [
  {
    name: SHORT,
    perSecond: (at) => (isInWave(at) ? WAVE.perSecond : USUAL_PER_SECOND),
    events: 30,
    fields: { promptTokens: 5000, objectiveMs: 300, pauseMs: 250, priority: 0, patienceMs: 2000 },
  },
  {
    name: 'medium',
    perSecond: () => 1.3,
    events: 20,
    fields: {
      promptTokens: 45_000,
      objectiveMs: 1500,
      pauseMs: 600,
      priority: 1,
      patienceMs: 6000,
    },
  },
  {
    name: 'long',
    perSecond: () => 0.8,
    events: 16,
    fields: {
      promptTokens: 120_000,
      objectiveMs: 3000,
      pauseMs: 1000,
      priority: 2,
      patienceMs: 12_000,
    },
  },
];

/** Most engines name limits of about one request a second, few are free, and a wave exceeds both. */
export class OverloadByRate {
  readonly arrivals: Arrival[] = KINDS.flatMap(createArrivals);

  private readonly engines: EngineDescriptor[];

  private readonly limits = new Map<string, number>();

  constructor() {
    this.engines = Array.from({ length: LIMITED_COUNT + FREE_COUNT }, (_, index) => ({
      id: `e${index}`,
      dataCentre: `d${index % 3}`,
      capacity: CAPACITY,
    }));
    this.engines
      .slice(0, LIMITED_COUNT)
      .forEach(({ id }, index) => this.limits.set(id, 1 + (index % 4) / 10));
  }

  run(createPolicy: (options: OverloadPolicyOptions) => OverloadPolicy): OverloadResult {
    const simulation = new EngineSimulation(this.engines.map(({ id }) => id));
    const now = (): number => simulation.now;
    const policy = createPolicy({
      engines: this.engines,
      now,
      onDecided: (id, decision) => simulation.decide(id, decision),
      limiter: new RateLimiter({ now, getLimit: (id) => this.limits.get(id) }),
    });
    simulation.run(this.arrivals, policy, () => policy.decideQueued());
    const short = this.arrivals.filter(isShort);
    const windows = simulation.getShares(short, ({ atMs }) => Math.floor(atMs / WINDOW_MS));
    return {
      byKind: simulation.getShares(this.arrivals, getKind),
      worstWindow: Math.min(...windows.values()),
    };
  }

  /**
   * Gets an upper bound of the share of short prompts that any order can serve on time if it serves
   * nothing else: turns at the rates of the limits and of the free slots go to the one due first.
   */
  getBound(): number {
    const limited = [...this.limits.values()].reduce((sum, limit) => sum + limit, 0);
    const free = (FREE_COUNT * CAPACITY * MS_PER_SECOND) / LEAST_SLOT_MS;
    const turnMs = MS_PER_SECOND / (limited + free);
    const pending = this.arrivals.filter(isShort).map(({ atMs, job }) => ({
      atMs,
      latestAt: atMs + job.objectiveMs - LEAST_FIRST_EVENT_MS,
    }));
    const count = pending.length;
    let served = 0;
    for (let at = 0; at < LOAD_MS; at += turnMs) {
      while (pending[0] && pending[0].latestAt < at) pending.shift();
      if (!pending[0] || pending[0].atMs > at) continue;
      pending.shift();
      served += 1;
    }
    return served / count;
  }
}

function getKind({ job }: Arrival): string {
  return job.id.split('-')[0] ?? '';
}

function isShort(arrival: Arrival): boolean {
  return getKind(arrival) === SHORT;
}

/** Spreads the arrivals of a kind evenly at its rate, with a jitter that repeats. */
function createArrivals({ name, perSecond, events, fields }: Kind): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let at = 0; at < LOAD_MS; at += MS_PER_SECOND / perSecond(at)) {
    const id = `${name}-${arrivals.length}`;
    const jitterMs = (arrivals.length * 7919) % 40;
    const common = { id, service: 's', dataCentre: `d${arrivals.length % 3}` };
    const times = { remainingMs: 10_000, waitedMs: 0, excluded: [], parts: [] };
    const sizes = { promptTokens: 0, priority: 0, objectiveMs: 0, pauseMs: 0 };
    const job: EngineJob = { ...common, ...times, ...sizes, ...fields };
    arrivals.push({ atMs: Math.round(at) + jitterMs, job, events });
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
