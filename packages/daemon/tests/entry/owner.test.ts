import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Engine } from '@azurecart/scheduling';
import type { Reservation } from '@azurecart/scheduling';
import type { Announcement, EngineState } from '@azurecart/protocol';
import { PrefixCacheIndex } from '../../src/entry/owner/PrefixCacheIndex.js';
import { getShardOf } from '../../src/entry/owner/getShardOf.js';
import { planModels } from '../../src/entry/owner/planModels.js';
import { reconcileReservations } from '../../src/entry/owner/reconcileReservations.js';
import { UpstreamRegistry } from '../../src/entry/owner/UpstreamRegistry.js';
import { ConfigurationLease } from '../../src/entry/view/index.js';

let now = 0;

function createRegistry(): UpstreamRegistry {
  now = 0;
  return new UpstreamRegistry({ ttlMs: 1000, now: () => now });
}

function announcement(sequence: number, incarnation = 'i1'): Announcement {
  return {
    id: 'e',
    incarnation,
    sequence,
    dataCentre: 'a',
    address: 'http://127.0.0.1:1',
    pool: 'p',
    kind: 'engine',
  };
}

function departure(sequence: number, incarnation = 'i1') {
  return { id: 'e', incarnation, sequence, dataCentre: 'a' };
}

function createEngine(): Engine {
  const capacity = { kvTokens: 1000, maxBatch: 4, prefillTokensPerSecond: 1, decodeStepMs: 1 };
  return new Engine({ id: 'e', address: '', capacity });
}

function createState(held: EngineState['held'] = []): EngineState {
  return {
    incarnation: 'i1',
    fence: 0,
    leaving: false,
    models: [],
    held,
    cache: { sequence: 0, prefixes: [] },
  };
}

function createReservation(changes: Partial<Reservation> = {}): Reservation {
  return {
    request: 'r',
    tokens: 100,
    model: 'm',
    customer: 'c',
    priority: 'standard',
    leads: true,
    isLong: false,
    prefillTokens: 90,
    grantedAt: 0,
    startBy: 1000,
    isConfirmed: false,
    isDecoding: false,
    session: 's',
    isPausable: false,
    isPausing: false,
    enginePriority: 0,
    ...changes,
  };
}

test('a duplicate or delayed announcement is rejected', () => {
  const registry = createRegistry();
  assert.ok(registry.announce(announcement(2)));
  assert.ok(!registry.announce(announcement(2)));
  assert.ok(!registry.announce(announcement(1)));
});

test('a delayed announcement does not re-register an upstream that left', () => {
  const registry = createRegistry();
  registry.announce(announcement(1));
  registry.leave(departure(3));
  assert.ok(!registry.announce(announcement(2)));
  assert.ok(!registry.announce(announcement(4)));
  assert.ok(registry.announce(announcement(1, 'i2')));
});

test('a delayed departure does not remove a new incarnation', () => {
  const registry = createRegistry();
  registry.announce(announcement(1, 'i2'));
  assert.ok(!registry.leave(departure(9, 'i1')));
  assert.equal(registry.getAll().length, 1);
});

test('an upstream that stops announcing itself is removed', () => {
  const registry = createRegistry();
  registry.announce(announcement(1));
  now = 1001;
  assert.equal(registry.removeSilent().length, 1);
  assert.equal(registry.getAll().length, 0);
});

test('memory that an engine no longer reports is released', () => {
  const engine = createEngine();
  engine.addReservation(createReservation({ isConfirmed: true }));
  reconcileReservations({ engine, state: createState(), requestedAt: 10 });
  assert.equal(engine.reservedTokens, 0);
});

test('a grant that the engine has not reported is kept until it can no longer start', () => {
  const engine = createEngine();
  engine.addReservation(createReservation());
  reconcileReservations({ engine, state: createState(), requestedAt: 1500 });
  assert.equal(engine.reservedTokens, 100);
  reconcileReservations({ engine, state: createState(), requestedAt: 2500 });
  assert.equal(engine.reservedTokens, 0);
});

test('memory without a reservation is adopted into the ledger', () => {
  const engine = createEngine();
  const held = [{ request: 'x', tokens: 300, fence: 1, leads: true }];
  assert.equal(
    reconcileReservations({ engine, state: createState(held), requestedAt: 0 }).length,
    1,
  );
  assert.equal(engine.freeTokens, 700);
});

test('a gap in cache events drops the entries until the next resync', () => {
  const [engine, cache] = [createEngine(), new PrefixCacheIndex()];
  const event = (sequence: number, added: string[]) => ({
    id: 'e',
    incarnation: 'i1',
    dataCentre: 'a',
    sequence,
    added,
    removed: [],
  });
  cache.resync(engine, { sequence: 1, prefixes: ['p1'] });
  assert.ok(cache.apply(engine, event(2, ['p2'])));
  assert.ok(!cache.apply(engine, event(4, ['p4'])));
  assert.equal(engine.prefixes.size, 0);
  cache.resync(engine, { sequence: 4, prefixes: ['p1', 'p4'] });
  assert.equal(engine.prefixes.size, 2);
});

test('models are loaded, upgraded and unloaded to match the release', () => {
  const model = (name: string, version: string) => ({ name, version, adapters: [] });
  const wanted = [model('new', '1'), model('old', '2'), model('same', '1')];
  const models = wanted.map((each) => ({ ...each, pool: 'p', contextTokens: 1 }));
  const loaded = [model('old', '1'), model('same', '1'), model('gone', '1')];
  const plan = planModels({ release: { models } as never, pool: 'p', loaded });
  assert.deepEqual([...plan.serving], ['old', 'same']);
  assert.deepEqual(
    plan.load.map((each) => each.name),
    ['new', 'old'],
  );
  assert.deepEqual(plan.unload, ['gone']);
});

test('a lease counts from the sending of its renewal and ends early by the clock drift', () => {
  let clock = 0;
  const lease = new ConfigurationLease(() => clock);
  lease.extend(0, 1000);
  clock = 949;
  assert.ok(lease.isHeld);
  clock = 951;
  assert.ok(!lease.isHeld);
});

test('adding a shard moves few upstreams', () => {
  const ids = Array.from({ length: 400 }, (_, index) => `engine-${index}`);
  const moved = ids.filter((id) => getShardOf(id, 'a', 4) !== getShardOf(id, 'a', 5));
  // One fifth (80) is expected; half as many more or fewer are accepted.
  assert.ok(moved.length > 40 && moved.length < 120, `${moved.length} of 400 moved`);
});
