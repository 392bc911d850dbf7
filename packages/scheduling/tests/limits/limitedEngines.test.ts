import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineScheduler, RateLimiter } from '../../src/index.js';
import type { EngineDecision, EngineJob } from '../../src/index.js';
import { ENGINE_PROFILE } from '../engines/EngineSimulation.js';

const TICK_MS = 10;
const DURATION_MS = 400;
const WINDOW_MS = 4000;
/** Time for which clients wait. */
const PATIENCE_MS = 5000;

interface Arrival {
  everyMs: number;
  fields?: Partial<EngineJob>;
}

/** Runs a load on engines, each with its limit, and gets the sends to each engine and the refusals. */
function runLoad(limits: (number | undefined)[], arrivals: Arrival[], seconds: number) {
  const clock = { now: 100_000 };
  const now = (): number => clock.now;
  const getLimit = (id: string) => limits[Number(id)];
  const limiter = new RateLimiter({ now, getLimit });
  const sends: number[][] = limits.map(() => []);
  const refusals: { job: EngineJob; afterMs: number; retryAfterMs: number }[] = [];
  const waits: { job: EngineJob; waitedMs: number }[] = [];
  const jobs = new Map<string, { job: EngineJob; arrivedAt: number }>();
  const ends: { id: string; at: number }[] = [];
  const onDecided = (id: string, decision: EngineDecision): void => {
    const known = jobs.get(id);
    if (!known || decision.kind === 'queued') return;
    const { job, arrivedAt } = known;
    const waitedMs = clock.now - arrivedAt;
    if (decision.kind === 'refused')
      refusals.push({ job, afterMs: waitedMs, retryAfterMs: decision.retryAfterMs });
    else {
      sends[Number(decision.engine)]?.push(clock.now);
      waits.push({ job, waitedMs });
      ends.push({ id, at: clock.now + DURATION_MS });
    }
  };
  const scheduler = new EngineScheduler({ profile: ENGINE_PROFILE, now, onDecided, limiter });
  scheduler.setEngines(
    limits.map((_, index) => ({ id: String(index), dataCentre: 'd', capacity: 11 })),
  );
  const endAt = clock.now + seconds * 1000;
  for (; clock.now < endAt; clock.now += TICK_MS) {
    for (const { everyMs, fields } of arrivals) {
      if (clock.now % everyMs !== 0) continue;
      const id = `j${jobs.size}`;
      const common = { id, service: 's', dataCentre: 'd', promptTokens: 3000, priority: 1 };
      const times = { objectiveMs: 250, pauseMs: 250, remainingMs: PATIENCE_MS, waitedMs: 0 };
      const job = { ...common, ...times, excluded: [], parts: [], ...fields };
      jobs.set(id, { job, arrivedAt: clock.now });
      onDecided(id, scheduler.place(job));
    }
    ends.filter(({ at }) => at === clock.now).forEach(({ id }) => scheduler.release(id));
    scheduler.decideQueued();
  }
  return { sends, refusals, waits };
}

function getMostInWindow(times: number[]): number {
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

// Guards against a scheduler that places prompts without regard to the limits of engines.
test('engines with a limit get no more than that, and the others the rest', () => {
  const limits = [1, 1.9, 0.5, 1, undefined, undefined];
  const { sends, refusals, waits } = runLoad(limits, [{ everyMs: 40 }], 20);
  limits.forEach((limit, index) => {
    const most = getMostInWindow(sends[index] ?? []);
    if (limit !== undefined) assert.ok(most <= Math.ceil(4 * limit), `${limit}: ${most}`);
  });
  assert.equal(refusals.length, 0);
  assert.ok(waits.every(({ waitedMs }) => waitedMs < 100));
});

test('with limits on all engines urgent prompts wait least and hopeless ones are refused early', () => {
  const arrivals = [
    { everyMs: 500, fields: { priority: 0 } },
    { everyMs: 200, fields: { priority: 2 } },
  ];
  const { sends, refusals, waits } = runLoad([1, 1, 1], arrivals, 30);
  sends.forEach((times) => assert.ok(getMostInWindow(times) <= 4));
  const urgent = waits.filter(({ job }) => job.priority === 0);
  assert.ok(urgent.length >= 55, `${urgent.length} of 60 urgent prompts placed`);
  assert.ok(Math.max(...urgent.map(({ waitedMs }) => waitedMs)) < 1500);
  assert.ok(refusals.every(({ job }) => job.priority === 2));
  const latest = Math.max(...refusals.map(({ afterMs }) => afterMs));
  assert.ok(latest <= PATIENCE_MS / 2, `refused after ${latest} ms`);
  assert.ok(refusals.every(({ retryAfterMs }) => retryAfterMs >= 300));
});
