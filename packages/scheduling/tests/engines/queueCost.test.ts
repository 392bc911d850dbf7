import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineScheduler, RateLimiter } from '../../src/index.js';
import type { EngineJob } from '../../src/index.js';
import { ENGINE_PROFILE } from './EngineSimulation.js';

const ENGINE_COUNT = 45;
const CAPACITY = 8;
const QUEUED = 100;
/** Engines whose limit is looked up per queued job. */
const MAX_LOOKS = 4;

function createJob(id: string): EngineJob {
  return {
    id,
    service: 's',
    dataCentre: 'd',
    promptTokens: 5000,
    priority: 1,
    objectiveMs: 300,
    pauseMs: 250,
    remainingMs: 10_000,
    waitedMs: 0,
    excluded: [],
    parts: [],
  };
}

// Guards against a scheduler that is too busy with its queue to place what arrives at a crest.
test('a decision on a queue looks at few engines while all are full', () => {
  let looks = 0;
  const now = (): number => 0;
  const getLimit = (): undefined => {
    looks += 1;
    return undefined;
  };
  const limiter = new RateLimiter({ now, getLimit });
  const scheduler = new EngineScheduler({
    profile: ENGINE_PROFILE,
    now,
    onDecided: () => undefined,
    limiter,
  });
  const engines = Array.from({ length: ENGINE_COUNT }, (_, index) => ({
    id: `e${index}`,
    dataCentre: 'd',
    capacity: CAPACITY,
  }));
  scheduler.setEngines(engines);
  for (let index = 0; index < ENGINE_COUNT * CAPACITY + QUEUED; index += 1) {
    scheduler.place(createJob(`j${index}`));
    scheduler.markDecoding(`j${index}`);
  }
  assert.equal(scheduler.queueLength, QUEUED);
  looks = 0;
  scheduler.decideQueued();
  scheduler.setEngines(engines);
  assert.ok(looks <= QUEUED * MAX_LOOKS, `${looks} looks`);
});
