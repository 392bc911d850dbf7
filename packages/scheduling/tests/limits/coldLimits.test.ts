import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PermitQueue, RandomTurns, RateLimiter } from '../../src/index.js';

const COLD_PER_SECOND = 26;
/** What a cold upstream bears in a second: one and a half times its limit, and some more. */
const getBound = (limit: number): number => 1.5 * limit + 5;

/** An upstream that is cold while `limits.cold` is set; `createLimiter` gets one process's limiter. */
function createSite() {
  const clock = { now: 100_000 };
  const limits: { cold?: number; named?: number } = {};
  const times: number[] = [];
  const createLimiter = (share = 1): RateLimiter =>
    new RateLimiter({
      now: () => clock.now,
      getLimit: () => limits.named,
      getColdLimit: () => limits.cold,
      getColdShare: () => share,
    });
  /** Sends as long as it is allowed, at most the given number. */
  const send = (limiter: RateLimiter, most: number): void => {
    limiter.recordDecision();
    for (let count = 0; count < most && limiter.getWaitMs('u') === 0; count += 1) {
      limiter.recordSend('u');
      times.push(clock.now);
    }
  };
  return { clock, limits, times, createLimiter, send };
}

function getMostInSecond(times: number[]): number {
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + 1000).length),
  );
}

const steps = fc.array(
  fc.record({
    afterMs: fc.integer({ min: 0, max: 700 }),
    requests: fc.integer({ min: 0, max: 60 }),
  }),
  { maxLength: 60 },
);
const coldLimits = fc.constantFrom(1, 2.5, 5, 26, 40);

test('a cold upstream gets its limit in no second more often, whatever arrives when', () => {
  fc.assert(
    fc.property(coldLimits, steps, (cold, arrivals) => {
      const site = createSite();
      site.limits.cold = cold;
      const limiter = site.createLimiter();
      for (const { afterMs, requests } of arrivals) {
        site.clock.now += afterMs;
        site.send(limiter, requests);
      }
      assert.ok(getMostInSecond(site.times) <= Math.max(1, Math.floor(cold)));
    }),
  );
});

test('a second in which an upstream turns cold counts what it got while it was warm', () => {
  fc.assert(
    fc.property(coldLimits, steps, fc.nat({ max: 30 }), (cold, arrivals, coldFrom) => {
      const site = createSite();
      const limiter = site.createLimiter();
      let coldAt = Infinity;
      arrivals.forEach(({ afterMs, requests }, index) => {
        site.clock.now += afterMs + 1;
        if (index >= coldFrom && coldAt === Infinity) coldAt = site.clock.now;
        site.limits.cold = index >= coldFrom ? cold : undefined;
        site.send(limiter, requests);
      });
      const before = site.times.filter((at) => at < coldAt && at > coldAt - 1000).length;
      const first = site.times.filter((at) => at >= coldAt && at < coldAt + 1000).length;
      assert.ok(first <= Math.max(1, Math.floor(cold)));
      if (before >= Math.max(1, cold)) assert.equal(getMostAt(site.times, coldAt), 0);
    }),
  );
});

function getMostAt(times: number[], at: number): number {
  return times.filter((each) => each === at).length;
}

test('the limit ends with the cold time and begins again with the next one', () => {
  const site = createSite();
  const limiter = site.createLimiter();
  site.send(limiter, 0);
  site.clock.now += 1000;
  site.limits.cold = 5;
  site.send(limiter, 100);
  assert.equal(site.times.length, 5);
  site.limits.cold = undefined;
  site.send(limiter, 100);
  assert.equal(site.times.length, 105);
  site.clock.now += 500;
  site.limits.cold = 5;
  assert.equal(limiter.getWaitMs('u'), 500);
  site.clock.now += 500;
  site.send(limiter, 100);
  assert.equal(site.times.length, 110);
});

test('of a named limit and a cold one the lower is in force', () => {
  const site = createSite();
  const limiter = site.createLimiter();
  Object.assign(site.limits, { cold: 5, named: 1 });
  assert.equal(limiter.getLimit('u'), 1);
  assert.equal(limiter.getNamedLimit('u'), 1);
  limiter.recordSend('u');
  limiter.recordSend('u');
  assert.equal(limiter.getWaitMs('u'), 1000);
  site.limits.named = undefined;
  assert.equal(limiter.getWaitMs('u'), 0);
  assert.equal(limiter.getLimit('u'), 5);
  assert.equal(limiter.getNamedLimit('u'), undefined);
});

test('the used part of a cold limit is told', () => {
  const site = createSite();
  const limiter = site.createLimiter();
  site.send(limiter, 2);
  assert.equal(limiter.getColdUse('u'), 0);
  site.limits.cold = 4;
  assert.equal(limiter.getColdUse('u'), 0.5);
  site.clock.now += 1000;
  assert.equal(limiter.getColdUse('u'), 0);
});

// Guards against a scheduler that grants the whole limit on top of what the one before it granted.
test('schedulers that follow each other unseen stay within what a cold upstream bears', () => {
  fc.assert(
    fc.property(coldLimits, steps, fc.nat({ max: 60 }), (cold, arrivals, changeAt) => {
      const site = createSite();
      site.limits.cold = cold;
      const first = site.createLimiter();
      const second = site.createLimiter();
      arrivals.forEach(({ afterMs, requests }, index) => {
        site.clock.now += afterMs;
        site.send(index < changeAt ? first : second, requests);
      });
      assert.ok(getMostInSecond(site.times) <= getBound(cold), `${getMostInSecond(site.times)}`);
    }),
  );
});

test('a leader and another process that decide at the same time stay within it too', () => {
  fc.assert(
    fc.property(coldLimits, steps, fc.array(fc.boolean()), (cold, arrivals, picks) => {
      const site = createSite();
      site.limits.cold = cold;
      const leader = site.createLimiter();
      const standby = site.createLimiter(0.5);
      arrivals.forEach(({ afterMs, requests }, index) => {
        site.clock.now += afterMs;
        site.send(picks[index % Math.max(1, picks.length)] ? leader : standby, requests);
      });
      assert.ok(getMostInSecond(site.times) <= getBound(cold), `${getMostInSecond(site.times)}`);
    }),
  );
});

test('a process that begins to decide lets the first request through at once', () => {
  const site = createSite();
  site.limits.cold = COLD_PER_SECOND;
  site.send(site.createLimiter(), 1);
  assert.equal(site.times.length, 1);
});

test('permits for cold upstreams without engines are granted at the rate of the limit', async () => {
  const site = createSite();
  site.limits.cold = 5;
  const queue = new PermitQueue({ now: () => site.clock.now, limiter: site.createLimiter() });
  const times: number[] = [];
  for (let index = 0; index < 30; index += 1) {
    queue
      .request({ upstreams: ['u'], priority: 0, waitMs: 4000 })
      .then(({ kind }) => kind === 'granted' && times.push(site.clock.now))
      .catch(() => undefined);
  }
  for (let tick = 0; tick < 200; tick += 1) {
    queue.decide();
    await Promise.resolve();
    site.clock.now += 20;
  }
  assert.ok(getMostInSecond(times) <= 5);
  assert.ok(times.length >= 18, `${times.length} in four seconds`);
});

/** Entry processes without a scheduler; each wants to send whenever it may. */
function runAlone(entries: number, limit: number, share: number): number[] {
  const clock = { now: 0 };
  let seed = entries;
  const random = (): number => {
    seed = (seed * 16_807) % 2_147_483_647;
    return seed / 2_147_483_647;
  };
  const times: number[] = [];
  const processes = Array.from(
    { length: entries },
    () => new RandomTurns({ now: () => clock.now, random }),
  );
  for (; clock.now < 20_000; clock.now += 20)
    for (const turns of processes)
      while (turns.take('u', (limit * share) / entries)) times.push(clock.now);
  return times;
}

// Load: all entry processes have lost their scheduler and have more work than the upstream bears.
test('entry processes without a scheduler together stay within what a cold upstream bears', () => {
  for (const entries of [1, 2, 3, 7, 20, 59, 300])
    for (const limit of [2, 5, COLD_PER_SECOND, 60]) {
      const times = runAlone(entries, limit, 0.4);
      const most = getMostInSecond(times);
      assert.ok(most <= getBound(limit), `${entries} processes, ${limit}: ${most}`);
      const perSecond = times.length / 20;
      assert.ok(perSecond > 0.2 * limit, `${entries} processes, ${limit}: ${perSecond} a second`);
    }
});

test('turns are not saved up', () => {
  const clock = { now: 0 };
  const turns = new RandomTurns({ now: () => clock.now, random: () => 0 });
  clock.now = 60_000;
  assert.ok(turns.take('u', 0.5));
  assert.ok(!turns.take('u', 0.5));
  clock.now += 1000;
  assert.ok(turns.take('u', 0.5));
});
