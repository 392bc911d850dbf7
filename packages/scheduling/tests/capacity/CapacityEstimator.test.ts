import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CapacityEstimator } from '../../src/index.js';

const SECOND = 1000;
const SLOTS = 12;

/** Requests of upstreams that repeat with a seed. */
class RequestLoad {
  now = 0;

  readonly estimator = new CapacityEstimator({ now: () => this.now });

  private state: number;

  constructor(
    private readonly upstreams: string[],
    seed = 1,
  ) {
    this.state = seed;
  }

  /** Gets a duration of 100 ms at the median that varies log-normally. */
  getDuration(spread = 0.3): number {
    const normal = Array.from({ length: 12 }, () => this.random()).reduce((a, b) => a + b) - 6;
    return 100 * Math.exp(normal * spread);
  }

  random(): number {
    this.state = (this.state * 16_807) % 2_147_483_647;
    return this.state / 2_147_483_647;
  }

  /** Records requests at a rate per upstream and calls back after each interval of 100 ms. */
  run(
    ms: number,
    perSecond: number,
    getDuration: (upstream: string) => number,
    onInterval: () => void = () => undefined,
  ): void {
    for (const endAt = this.now + ms; this.now < endAt; this.now += 100) {
      for (const upstream of this.upstreams)
        if (this.random() < perSecond / 10)
          this.estimator.record({ upstream, kind: 'k', duration: getDuration(upstream) });
      onInterval();
    }
  }

  getSlowdowns(): number[] {
    return this.upstreams.map((upstream) => this.estimator.getSlowdown(upstream));
  }
}

function createNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `u${index}`);
}

test('two speeds in one service are told apart within seconds', () => {
  const load = new RequestLoad(createNames(8));
  load.run(5 * SECOND, 4, (id) => load.getDuration() * (id < 'u4' ? 1 : 3));
  const slowdowns = load.getSlowdowns();
  assert.ok(slowdowns.slice(0, 4).every((slowdown) => slowdown === 1));
  assert.ok(slowdowns.slice(4).every((slowdown) => slowdown > 2 && slowdown < 4.5));
});

test('noise has no effect', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const load = new RequestLoad(createNames(30), seed);
    load.run(
      60 * SECOND,
      2,
      () => load.getDuration(),
      () => assert.deepEqual(load.estimator.getDeviating(), []),
    );
  }
});

test('a step down and back is followed within seconds', () => {
  const load = new RequestLoad(createNames(9));
  const getDuration = (factor: number) => (id: string) =>
    load.getDuration() * (id === 'u0' ? factor : 1);
  load.run(10 * SECOND, 3, getDuration(1));
  assert.equal(load.estimator.getSlowdown('u0'), 1);
  load.run(5 * SECOND, 3, getDuration(4));
  assert.ok(load.estimator.getSlowdown('u0') > 2);
  load.run(8 * SECOND, 3, getDuration(1));
  assert.deepEqual(load.estimator.getDeviating(), []);
});

// Guards against a service that loses all its upstreams because all of them slow down.
test('a service that slows down at once keeps all upstreams', () => {
  const load = new RequestLoad(createNames(12));
  load.run(10 * SECOND, 3, () => load.getDuration());
  load.run(
    20 * SECOND,
    3,
    () => load.getDuration() * 5,
    () => assert.deepEqual(load.estimator.getDeviating(), []),
  );
});

test('a kind of long requests is not taken for slowness', () => {
  const load = new RequestLoad(createNames(6));
  for (; load.now < 20 * SECOND; load.now += 100) {
    for (const upstream of createNames(6)) {
      const kind = load.random() < (upstream < 'u3' ? 0.9 : 0.1) ? 'long' : 'short';
      const duration = load.getDuration() * (kind === 'long' ? 20 : 1);
      if (load.random() < 0.5) load.estimator.record({ upstream, kind, duration });
    }
    assert.deepEqual(load.estimator.getDeviating(), []);
  }
});

test('a knee at half of the slots limits an upstream there', () => {
  const load = new RequestLoad([]);
  for (; load.now < 10 * SECOND; load.now += 100) {
    for (const upstream of createNames(6)) {
      const jobs = 1 + Math.floor(load.random() * SLOTS);
      const factor = upstream === 'u0' && jobs > SLOTS / 2 ? 4 : 1;
      const duration = load.getDuration() * factor;
      load.estimator.record({ upstream, kind: 'k', duration, utilisation: jobs / SLOTS });
    }
  }
  assert.equal(load.estimator.getLimit('u0', SLOTS), SLOTS / 2);
  assert.equal(load.estimator.getSlowdown('u0'), 1);
  assert.equal(load.estimator.getLimit('u1', SLOTS), SLOTS);
});

// Guards against an upstream that is well again and stays without work.
test('what is not confirmed is forgotten and tried with few requests first', () => {
  const load = new RequestLoad(createNames(6));
  load.run(6 * SECOND, 4, (id) => load.getDuration() * (id === 'u0' ? 4 : 1));
  assert.ok(load.estimator.getSlowdown('u0') > 2);
  const startedAt = load.now;
  const others = createNames(6).slice(1);
  const limits: number[] = [];
  while (load.estimator.getDeviating().length > 0 && load.now < startedAt + 200 * SECOND) {
    others.forEach((upstream) =>
      load.estimator.record({ upstream, kind: 'k', duration: load.getDuration() }),
    );
    load.now += 100;
    if (load.estimator.getSlowdown('u0') === 1) limits.push(load.estimator.getLimit('u0', SLOTS));
  }
  assert.ok(load.now - startedAt < 120 * SECOND, `${load.now - startedAt} ms`);
  assert.equal(limits[0], 1);
  limits.forEach((limit, index) => assert.ok(limit - (limits[index - 1] ?? 1) <= 1));
});

test('an upstream that is tried again and is well loses its limit', () => {
  const load = new RequestLoad(createNames(6));
  load.run(6 * SECOND, 4, (id) => load.getDuration() * (id === 'u0' ? 4 : 1));
  const others = createNames(6).slice(1);
  while (load.estimator.getSlowdown('u0') > 1) {
    others.forEach((upstream) =>
      load.estimator.record({ upstream, kind: 'k', duration: load.getDuration() }),
    );
    load.now += 100;
  }
  assert.equal(load.estimator.getLimit('u0', SLOTS), 1);
  load.estimator.record({ upstream: 'u0', kind: 'k', duration: load.getDuration() });
  load.now += 100;
  assert.deepEqual(load.estimator.getDeviating(), []);
});

// Guards against evidence that no single machine has enough of.
test('few requests at each of many machines add up', () => {
  const load = new RequestLoad([]);
  const upstreams = createNames(3);
  for (; load.now < 10 * SECOND; load.now += SECOND) {
    // Of 60 machines, each one sends a request in five seconds.
    for (let machine = 0; machine < 12; machine += 1) {
      const upstream = upstreams[machine % 3] ?? '';
      const value = Math.log(load.getDuration() * (upstream === 'u2' ? 4 : 1));
      const summary = { upstream, kind: 'k', count: 1, sum: value, sumOfSquares: value ** 2 };
      load.estimator.recordSummary(summary);
    }
  }
  const [first, second, third] = upstreams.map((id) => load.estimator.getSlowdown(id));
  assert.deepEqual([first, second], [1, 1]);
  assert.ok((third ?? 0) > 2);
});

test('one late report among many on time has no effect', () => {
  const load = new RequestLoad(createNames(6));
  load.run(5 * SECOND, 2, () => load.getDuration());
  load.estimator.record({ upstream: 'u0', kind: 'k', duration: 60 * SECOND });
  assert.deepEqual(load.estimator.getDeviating(), []);
});

test('two upstreams have no peers to compare with', () => {
  const load = new RequestLoad(createNames(2));
  load.run(10 * SECOND, 5, (id) => load.getDuration() * (id === 'u0' ? 6 : 1));
  assert.deepEqual(load.estimator.getDeviating(), []);
});

test('estimates stay within bounds', () => {
  const observation = fc.record({
    upstream: fc.constantFrom(...createNames(5)),
    kind: fc.constantFrom('k', 'l'),
    duration: fc.double({ min: 0, max: 1e9, noNaN: true }),
    utilisation: fc.double({ min: 0, max: 3, noNaN: true }),
    waitMs: fc.integer({ min: 0, max: 2000 }),
  });
  fc.assert(
    fc.property(fc.array(observation, { maxLength: 200 }), (observations) => {
      const load = new RequestLoad([]);
      observations.forEach(({ waitMs, ...fields }) => {
        load.now += waitMs;
        load.estimator.record(fields);
        createNames(5).forEach((id) => {
          const slowdown = load.estimator.getSlowdown(id);
          const limit = load.estimator.getLimit(id, SLOTS);
          assert.ok(slowdown >= 1 / 8.001 && slowdown <= 8.001, `${slowdown}`);
          assert.ok(limit >= 1 && limit <= SLOTS, `${limit}`);
        });
      });
      load.now += 120 * SECOND;
      assert.deepEqual(load.estimator.getDeviating(), []);
    }),
  );
});
