import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimitTable } from '../../src/index.js';

function createTable(now = 1000) {
  const clock = { now };
  return { clock, table: new RateLimitTable({ now: () => clock.now }) };
}

test('only a new value is passed on', () => {
  const { table } = createTable();
  assert.equal(table.record('u', 1, undefined), false);
  assert.equal(table.record('u', 1, 2), true);
  assert.equal(table.record('u', 1, 2), false);
  assert.equal(table.record('u', 1, 1.5), true);
  assert.equal(table.record('u', 1, undefined), true);
  assert.equal(table.getLimit('u'), undefined);
});

test('a later incarnation has no limit until it names one', () => {
  const { table } = createTable();
  table.record('u', 1, 2);
  assert.equal(table.record('u', 2, undefined), true);
  assert.equal(table.getLimit('u'), undefined);
  assert.equal(table.record('u', 1, 2), false);
});

test('the latest response decides in whatever order the records arrive', () => {
  const first = createTable();
  first.table.record('u', 1, 2);
  const [named] = first.table.getLimits();
  first.clock.now += 500;
  first.table.record('u', 1, undefined);
  const [lifted] = first.table.getLimits();
  assert.ok(named && lifted);
  const late = { ...named, ageMs: named.ageMs + 500 };
  const second = createTable();
  assert.deepEqual(second.table.merge([lifted, late]), ['u']);
  assert.equal(second.table.getLimit('u'), undefined);
  const third = createTable();
  third.table.merge([late]);
  assert.equal(third.table.getLimit('u'), 2);
  assert.deepEqual(third.table.merge([lifted]), ['u']);
  assert.equal(third.table.getLimit('u'), undefined);
});

// Guards against copies of a record that go round between processes without end.
test('a copy that comes back is not passed on', () => {
  const first = createTable();
  first.table.record('u', 1, 2);
  const second = createTable(77);
  assert.deepEqual(second.table.merge(first.table.getLimits()), ['u']);
  first.clock.now += 5;
  assert.deepEqual(first.table.merge(second.table.getLimits()), []);
});

// Guards against a restarted scheduler that learns of limits before the upstreams announce themselves.
test('limits of unknown upstreams are removed only after a while', () => {
  const { clock, table } = createTable();
  table.record('u', 1, 2);
  table.merge([{ upstream: 'v', bornAt: 1, requestsPerSecond: 2, ageMs: 90_000 }]);
  const isKnown = (id: string): boolean => id === 'u';
  table.removeExpired(isKnown);
  assert.deepEqual([table.getLimit('u'), table.getLimit('v')], [2, 2]);
  clock.now += 61_000;
  table.removeExpired(isKnown);
  assert.deepEqual([table.getLimit('u'), table.getLimit('v')], [2, undefined]);
});
