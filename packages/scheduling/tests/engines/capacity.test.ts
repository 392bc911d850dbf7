import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { CapacityEstimator, EngineScheduler } from '../../src/index.js';
import { ENGINE_PROFILE, EngineSimulation } from './EngineSimulation.js';
import type { Arrival, EngineSimulationOptions } from './EngineSimulation.js';

const CAPACITY = 12;
const ENGINES = Array.from({ length: 16 }, (_, index) => ({
  id: `e${index}`,
  dataCentre: 'd',
  capacity: CAPACITY,
}));
/** Every fourth engine is slow in the loads below. */
const SLOW_ENGINES = new Set(ENGINES.filter((_, index) => index % 4 === 0).map(({ id }) => id));
const LOAD_MS = 60_000;
/** Time for which a new scheduler may serve prompts as if it knew nothing of the engines. */
const LEARNING_MS = 6000;
const SHORT = { promptTokens: 5000, objectiveMs: 250, pauseMs: 250, priority: 0 };
const LONG = { promptTokens: 120_000, objectiveMs: 6000, pauseMs: 1000, priority: 2 };

/** Creates a steady load of short prompts beside a few long ones. */
function createArrivals(shortSpacingMs: number, longSpacingMs: number): Arrival[] {
  const common = {
    service: 's',
    dataCentre: 'd',
    remainingMs: 10_000,
    waitedMs: 0,
    excluded: [],
    parts: [],
  };
  const arrivals: Arrival[] = [];
  for (let at = 0; at < LOAD_MS; at += shortSpacingMs)
    arrivals.push({ atMs: at, job: { ...common, ...SHORT, id: `s${at}` }, events: 30 });
  for (let at = 0; at < LOAD_MS; at += longSpacingMs)
    arrivals.push({ atMs: at, job: { ...common, ...LONG, id: `l${at}` }, events: 15 });
  return arrivals;
}

interface RunOptions extends EngineSimulationOptions {
  arrivals: Arrival[];
  learns: boolean;
  /** Time at which a scheduler without any knowledge takes over from the first one. */
  replacedAt?: number;
}

/** Simulates a load and returns the shares on time of prompts that arrive after `LEARNING_MS`. */
function run({ arrivals, learns, replacedAt, getSlowdown }: RunOptions): Map<string, number> {
  const simulation = new EngineSimulation(
    ENGINES.map(({ id }) => id),
    { getSlowdown },
  );
  const create = (): EngineScheduler => {
    const now = (): number => simulation.now;
    const scheduler = new EngineScheduler({
      profile: ENGINE_PROFILE,
      now,
      onDecided: (id, decision) => simulation.decide(id, decision),
      capacity: learns ? new CapacityEstimator({ now, comparesKinds: true }) : undefined,
    });
    scheduler.setEngines(ENGINES);
    return scheduler;
  };
  let scheduler = create();
  let isReplaced = false;
  simulation.run(
    arrivals,
    {
      place: (job) => scheduler.place(job),
      markDecoding: (id) => scheduler.markDecoding(id),
      release: (id) => scheduler.release(id),
    },
    () => {
      if (!isReplaced && replacedAt !== undefined && simulation.now >= replacedAt) {
        isReplaced = true;
        scheduler = create();
      }
      scheduler.decideQueued();
    },
  );
  const later = arrivals.filter(({ atMs }) => atMs >= (replacedAt ?? 0) + LEARNING_MS);
  return simulation.getShares(later, ({ job }) => (job.id.startsWith('s') ? 'short' : 'long'));
}

function compare(
  context: TestContext,
  options: Omit<RunOptions, 'learns'>,
): { known: Map<string, number>; unknown: Map<string, number> } {
  const unknown = run({ ...options, learns: false });
  const known = run({ ...options, learns: true });
  context.diagnostic(`without ${JSON.stringify([...unknown])}, with ${JSON.stringify([...known])}`);
  return { known, unknown };
}

/** Least share of the requests, late because of slow engines, that are on time instead. */
const LEAST_GAIN = 0.5;

function assertGain(known = 0, unknown = 1): void {
  assert.ok(known >= unknown + (1 - unknown) * LEAST_GAIN, `${known} instead of ${unknown}`);
}

// Guards against a service in which some engines are slower than their profile states.
test('engines that are slow get little of the load', (context) => {
  const { known, unknown } = compare(context, {
    arrivals: createArrivals(30, 900),
    getSlowdown: (id) => (SLOW_ENGINES.has(id) ? 4 : 1),
  });
  assertGain(known.get('short'), unknown.get('short'));
  assertGain(known.get('long'), unknown.get('long'));
});

// Guards against engines that are filled beyond the number of jobs at which they slow down.
test('engines that slow down when half full are filled less', (context) => {
  const { known, unknown } = compare(context, {
    arrivals: createArrivals(15, 2000),
    getSlowdown: (id, jobs) => (SLOW_ENGINES.has(id) && jobs > CAPACITY / 2 ? 4 : 1),
  });
  assertGain(known.get('short'), unknown.get('short'));
});

test('engines that are as predicted are used as before', (context) => {
  const { known, unknown } = compare(context, { arrivals: createArrivals(18, 700) });
  assert.deepEqual([...known], [...unknown]);
});

test('engines that are all slow are used as before', (context) => {
  const { known, unknown } = compare(context, {
    arrivals: createArrivals(40, 3000),
    getSlowdown: () => 2,
  });
  assert.deepEqual([...known], [...unknown]);
});

test('a scheduler that takes over without evidence learns it again', (context) => {
  const { known, unknown } = compare(context, {
    arrivals: createArrivals(30, 900),
    replacedAt: 9000,
    getSlowdown: (id) => (SLOW_ENGINES.has(id) ? 4 : 1),
  });
  assertGain(known.get('short'), unknown.get('short'));
});
