import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineScheduler, RateLimiter } from '../../src/index.js';
import type { EngineDecision, EngineDescriptor } from '../../src/index.js';
import { EngineSimulation, ENGINE_PROFILE } from './EngineSimulation.js';
import type { Arrival, SchedulingPolicy } from './EngineSimulation.js';

const COLD_PER_SECOND = 5;
const COLD_MS = 3000;
const RETURN_AT = 4000;
const END_AT = 9000;
const ENGINES_PER_DATA_CENTRE = 4;
const ARRIVAL_INTERVAL_MS = 12;
const SHORT = { promptTokens: 5000, objectiveMs: 400, pauseMs: 250, priority: 0 };

/** Times at which each engine got a prompt. */
type Sends = Map<string, number[]>;

interface ColdReturn {
  sends: Sends;
  simulation: EngineSimulation;
  arrivals: Arrival[];
}

function createEngines(dataCentre: string): EngineDescriptor[] {
  return Array.from({ length: ENGINES_PER_DATA_CENTRE }, (_, index) => ({
    id: `${dataCentre}${index}`,
    dataCentre,
    capacity: 11,
  }));
}

/**
 * More short prompts than the engines of data centre a serve in time; those of data centre b come
 * back together and cold. Each of these may crash once and is back under its own id, cold again.
 */
function runColdReturn(crashAt = Infinity): ColdReturn {
  const warm = createEngines('a');
  const back = createEngines('b');
  const simulation = new EngineSimulation([...warm, ...back].map(({ id }) => id));
  const sends: Sends = new Map(back.map(({ id }) => [id, []]));
  const now = (): number => simulation.now;
  const isCold = (): boolean =>
    now() < RETURN_AT + COLD_MS || (now() >= crashAt && now() < crashAt + COLD_MS);
  const limiter = new RateLimiter({
    now,
    getLimit: () => undefined,
    getColdLimit: (id) => (id.startsWith('b') && isCold() ? COLD_PER_SECOND : undefined),
  });
  const onDecided = (id: string, decision: EngineDecision): void => {
    if (decision.kind === 'placed') sends.get(decision.engine)?.push(now());
    simulation.decide(id, decision);
  };
  const scheduler = new EngineScheduler({ profile: ENGINE_PROFILE, now, onDecided, limiter });
  const policy: SchedulingPolicy = {
    place: (job) => {
      const decision = scheduler.place(job);
      if (decision.kind === 'placed') sends.get(decision.engine)?.push(now());
      return decision;
    },
    markDecoding: (id) => scheduler.markDecoding(id),
    release: (id) => scheduler.release(id),
  };
  scheduler.setEngines(warm);
  const arrivals = Array.from({ length: END_AT / ARRIVAL_INTERVAL_MS }, (_, index) => ({
    atMs: index * ARRIVAL_INTERVAL_MS,
    events: 8,
    job: {
      ...SHORT,
      id: `j${index}`,
      service: 's',
      dataCentre: index % 2 === 0 ? 'a' : 'b',
      remainingMs: 10_000,
      patienceMs: 2000,
      waitedMs: 0,
      excluded: [],
      parts: [],
    },
  }));
  simulation.run(arrivals, policy, () => {
    scheduler.setEngines(now() < RETURN_AT ? warm : [...warm, ...back]);
    scheduler.decideQueued();
  });
  return { sends, simulation, arrivals };
}

function getMostInSecond(times: number[], from: number, to: number): number {
  const cold = times.filter((at) => at >= from && at < to);
  return Math.max(
    0,
    ...cold.map((start) => cold.filter((at) => at >= start && at < start + 1000).length),
  );
}

// Load: the prompts that a data centre could not take wait for another one, which comes back cold.
test('a data centre that comes back cold is ramped within its limits and not left idle', () => {
  const { sends } = runColdReturn();
  const allowed = (COLD_PER_SECOND * COLD_MS) / 1000;
  for (const [engine, times] of sends) {
    const most = getMostInSecond(times, RETURN_AT, RETURN_AT + COLD_MS);
    assert.ok(most <= COLD_PER_SECOND, `${engine}: ${most} in a second`);
    const cold = times.filter((at) => at < RETURN_AT + COLD_MS).length;
    assert.ok(cold >= 0.8 * allowed, `${engine}: only ${cold} of ${allowed} while cold`);
  }
});

test('once it is warm, prompts are on time again', () => {
  const { simulation, arrivals } = runColdReturn();
  const shares = simulation.getShares(arrivals, ({ atMs }) => Math.floor(atMs / 1000));
  const last = shares.get(END_AT / 1000 - 1) ?? 0;
  assert.ok(last >= 0.9, `${last} on time, by second: ${JSON.stringify([...shares])}`);
});

// Guards against a limit that ends with the first cold time of an id. What the id got before a crash
// counts on, since a request on its way reaches the next lifetime.
test('engines that crash and come back under their own ids are limited anew', () => {
  const crashAt = RETURN_AT + COLD_MS + 500;
  const { sends } = runColdReturn(crashAt);
  for (const [engine, times] of sends) {
    const most = getMostInSecond(times, crashAt, crashAt + COLD_MS);
    assert.ok(most <= COLD_PER_SECOND, `${engine}: ${most} in a second`);
    assert.ok(most > 0, `${engine} stays idle`);
  }
});

test('of equal engines the warm one goes before one that is cold and used', () => {
  const limiter = new RateLimiter({
    now: () => 0,
    getLimit: () => undefined,
    getColdLimit: (id) => (id === 'a0' ? COLD_PER_SECOND : undefined),
  });
  const scheduler = new EngineScheduler({
    profile: ENGINE_PROFILE,
    now: () => 0,
    onDecided: () => undefined,
    limiter,
  });
  scheduler.setEngines(createEngines('a').slice(0, 2));
  limiter.recordSend('a0');
  const common = { service: 's', dataCentre: 'a', remainingMs: 10_000, waitedMs: 0 };
  const decision = scheduler.place({ ...SHORT, ...common, id: 'j', excluded: [], parts: [] });
  assert.ok(decision.kind === 'placed' && decision.engine === 'a1');
});

// Guards against a cold engine that is treated like one that names a limit of about one a second.
test('a cold engine is not preferred for long prompts', () => {
  const limiter = new RateLimiter({
    now: () => 0,
    getLimit: () => undefined,
    getColdLimit: (id) => (id === 'a1' ? COLD_PER_SECOND : undefined),
  });
  const scheduler = new EngineScheduler({
    profile: ENGINE_PROFILE,
    now: () => 0,
    onDecided: () => undefined,
    limiter,
  });
  scheduler.setEngines(createEngines('a').slice(0, 2));
  const long = { promptTokens: 120_000, objectiveMs: 6000, pauseMs: 1000, priority: 1 };
  const common = { service: 's', dataCentre: 'a', remainingMs: 10_000, waitedMs: 0 };
  const decision = scheduler.place({ ...long, ...common, id: 'j', excluded: [], parts: [] });
  assert.ok(decision.kind === 'placed' && decision.engine === 'a0');
});
