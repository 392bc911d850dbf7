import { EngineScheduler } from '../../src/index.js';
import type { EngineDescriptor, EngineJob, PerformanceProfile } from '../../src/index.js';
import { ENGINE_PROFILE, EngineSimulation } from './EngineSimulation.js';
import type { Arrival } from './EngineSimulation.js';

/** Requests of one kind in a load. */
interface Kind {
  name: string;
  /** Mean arrivals per second, times the factor of the phase. */
  perSecond: number;
  /** Mean number of prompt tokens, the spread of their logarithm, and their maximum. */
  tokens: { mean: number; spread: number; most: number };
  events: number;
  fields: Pick<EngineJob, 'objectiveMs' | 'pauseMs' | 'remainingMs'>;
}

/** A stretch of a load with a factor for the rate of each kind. */
export interface Phase {
  untilMs: number;
  factors: Record<string, number>;
}

/** Shares of requests on time by kind, and of short prompts in the worst window of two seconds. */
export interface PhasedResult {
  byKind: Map<string, number>;
  worstWindow: number;
}

const PROFILE: PerformanceProfile = {
  ...ENGINE_PROFILE,
  stepMsPerSequence: 0.000917,
  stepsPerPass: 38,
  kvCacheTokens: 344_250,
};
/** Number of engines for which the rates of the kinds are stated. */
const ENGINE_COUNT = 45;
const CAPACITY = 8;
const DATA_CENTRES = 3;
const WINDOW_MS = 2000;
const MS_PER_SECOND = 1000;
/** Period and swing of the wave of arrivals. */
const WAVE = { periodMs: 15_000, swing: 0.55 };
/** Milliseconds that a request and its first event spend between the client and an engine. */
const TRANSFER_MS = 80;

/** Names of the kinds of prompts. */
export const SHORT = 'short';
export const MEDIUM = 'medium';
export const LONG = 'long';

/** All kinds have the same priority. */
const KINDS: Kind[] = [
  {
    name: SHORT,
    perSecond: 44,
    tokens: { mean: 5000, spread: 0.9, most: 23_840 },
    events: 35,
    fields: { objectiveMs: 300, pauseMs: 250, remainingMs: 10_000 },
  },
  {
    name: MEDIUM,
    perSecond: 3.1,
    tokens: { mean: 45_000, spread: 0.5, most: 110_000 },
    events: 20,
    fields: { objectiveMs: 1500, pauseMs: 600, remainingMs: 10_000 },
  },
  {
    name: LONG,
    perSecond: 1,
    tokens: { mean: 260_000, spread: 0.55, most: 900_000 },
    events: 17,
    fields: { objectiveMs: 4000, pauseMs: 1000, remainingMs: 15_000 },
  },
];

/** Short prompts beside long ones of the same priority, whose rates change by phases. */
export class PhasedLoad {
  readonly arrivals: Arrival[];

  private readonly engines: EngineDescriptor[];

  /** @param engineCount - Number of engines; the rates are in proportion to it. */
  constructor(phases: Phase[], seed: number, engineCount = ENGINE_COUNT) {
    const random = createRandom(seed);
    const scale = engineCount / ENGINE_COUNT;
    this.engines = Array.from({ length: engineCount }, (_, index) => ({
      id: `e${index}`,
      dataCentre: `d${index % DATA_CENTRES}`,
      capacity: CAPACITY,
    }));
    this.arrivals = KINDS.flatMap((kind) =>
      createArrivals({ ...kind, perSecond: kind.perSecond * scale }, phases, random),
    );
  }

  run(): PhasedResult {
    const simulation = new EngineSimulation(
      this.engines.map(({ id }) => id),
      { profile: PROFILE },
    );
    const scheduler = new EngineScheduler({
      profile: PROFILE,
      now: () => simulation.now,
      onDecided: (id, decision) => simulation.decide(id, decision),
    });
    scheduler.setEngines(this.engines);
    simulation.run(this.arrivals, scheduler, () => scheduler.decideQueued());
    const short = this.arrivals.filter((arrival) => getKind(arrival) === SHORT);
    const windows = simulation.getShares(short, ({ atMs }) => Math.floor(atMs / WINDOW_MS));
    return {
      byKind: simulation.getShares(this.arrivals, getKind),
      worstWindow: Math.min(...windows.values()),
    };
  }
}

function getKind({ job }: Arrival): string {
  return job.id.split('-')[0] ?? '';
}

function createArrivals(kind: Kind, phases: Phase[], random: () => number): Arrival[] {
  const endMs = phases.at(-1)?.untilMs ?? 0;
  const arrivals: Arrival[] = [];
  const { name, tokens, events, fields } = kind;
  for (let at = 0; at < endMs;) {
    const factor = phases.find(({ untilMs }) => at < untilMs)?.factors[name] ?? 1;
    const wave = 1 + WAVE.swing * Math.sin((2 * Math.PI * at) / WAVE.periodMs);
    const rate = kind.perSecond * factor * wave;
    at += (-Math.log(1 - random()) * MS_PER_SECOND) / rate;
    const promptTokens = Math.round(drawTokens(tokens, random));
    const id = `${name}-${arrivals.length}`;
    const dataCentre = `d${Math.floor(random() * DATA_CENTRES)}`;
    const job: EngineJob = {
      id,
      service: 's',
      dataCentre,
      promptTokens,
      priority: 1,
      waitedMs: 0,
      excluded: [],
      parts: [],
      ...fields,
    };
    const drawnEvents = Math.max(1, Math.round(events * (0.5 + random())));
    arrivals.push({ atMs: Math.round(at), job, events: drawnEvents, transferMs: TRANSFER_MS });
  }
  return arrivals;
}

/** Draws from a lognormal distribution with the given mean. */
function drawTokens({ mean, spread, most }: Kind['tokens'], random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.min(most, mean * Math.exp(spread * normal - (spread * spread) / 2));
}

/** Creates a generator of repeatable numbers from 0 to 1. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
