import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { UpstreamTable } from '../src/index.js';
import type { Announcement } from '../src/index.js';

function announce(fields: Partial<Announcement> = {}): Announcement {
  return {
    id: 'a',
    bornAt: 1000,
    sequence: 1,
    service: 's',
    address: '10.0.0.1:80',
    dataCentre: 'd',
    capacity: 8,
    state: 'ready',
    ...fields,
  };
}

function createTable(): UpstreamTable {
  return new UpstreamTable({ now: () => 0 });
}

const announcements = fc.record({
  id: fc.constantFrom('a', 'b'),
  bornAt: fc.constantFrom(1000, 2000),
  sequence: fc.integer({ min: 1, max: 6 }),
  state: fc.constantFrom('ready' as const, 'draining' as const),
});

test('an older announcement changes nothing', () => {
  const table = createTable();
  table.merge(announce({ sequence: 5, state: 'draining' }));
  assert.equal(table.merge(announce({ sequence: 4 })), 'ignored');
  assert.deepEqual(table.getReady('s'), []);
});

test('a draining upstream does not become ready again in one incarnation', () => {
  const table = createTable();
  table.merge(announce({ state: 'draining' }));
  table.merge(announce({ sequence: 2 }));
  assert.deepEqual(table.getReady('s'), []);
});

test('an upstream that left stays away until it is born anew under its id', () => {
  const table = createTable();
  table.merge(announce());
  table.markGone('a');
  table.merge(announce({ sequence: 9 }));
  assert.equal(table.getReady('s').length, 0);
  table.merge(announce({ bornAt: 2000 }));
  assert.equal(table.getReady('s').length, 1);
});

test('a delayed announcement does not take the address of a younger upstream', () => {
  const table = createTable();
  table.merge(announce({ id: 'young', bornAt: 2000, service: 'other' }));
  assert.equal(table.merge(announce()), 'ignored');
  assert.deepEqual(table.getReady('s'), []);
});

test('a younger upstream at an address retires the older one', () => {
  const table = createTable();
  table.merge(announce());
  table.merge(announce({ id: 'young', bornAt: 2000, service: 'other' }));
  assert.deepEqual(table.getReady('s'), []);
  assert.equal(table.getReady('other').length, 1);
});

test('the highest incarnation and sequence win in any order of arrival', () => {
  fc.assert(
    fc.property(fc.array(announcements, { maxLength: 12 }), (drawn) => {
      const table = createTable();
      for (const fields of drawn) table.merge(announce({ ...fields, address: fields.id }));
      for (const record of table.getRecords()) {
        const own = drawn.filter(({ id }) => id === record.id);
        const bornAt = Math.max(...own.map((each) => each.bornAt));
        const last = own.filter((each) => each.bornAt === bornAt);
        assert.equal(record.bornAt, bornAt);
        assert.equal(record.sequence, Math.max(...last.map((each) => each.sequence)));
      }
    }),
    { seed: 11 },
  );
});

test('silent upstreams and old tombstones are forgotten', () => {
  let now = 0;
  const table = new UpstreamTable({ now: () => now, silenceMs: 100, tombstoneMs: 50 });
  table.merge(announce());
  table.merge(announce({ id: 'b', address: 'b' }));
  table.markGone('b');
  now = 60;
  table.sweep();
  assert.deepEqual(
    table.getRecords().map(({ id }) => id),
    ['a'],
  );
  now = 200;
  table.sweep();
  assert.deepEqual(table.getRecords(), []);
});
