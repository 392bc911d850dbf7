import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { UpstreamTable } from '../src/index.js';
import type { Announcement } from '../src/index.js';

function createAnnouncement(fields: Partial<Announcement> = {}): Announcement {
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
  state: fc.constantFrom('ready' as const, 'draining' as const, 'gone' as const),
});

test('an older announcement is ignored', () => {
  const table = createTable();
  table.merge(createAnnouncement({ sequence: 5, state: 'draining' }));
  assert.equal(table.merge(createAnnouncement({ sequence: 4 })), 'ignored');
  assert.deepEqual(table.getReady('s'), []);
});

test('a draining upstream does not become ready again in the same incarnation', () => {
  const table = createTable();
  table.merge(createAnnouncement({ state: 'draining' }));
  table.merge(createAnnouncement({ sequence: 2 }));
  assert.deepEqual(table.getReady('s'), []);
});

test('an upstream that left becomes ready again only in a new incarnation', () => {
  const table = createTable();
  table.merge(createAnnouncement());
  table.markGone('a');
  table.merge(createAnnouncement({ sequence: 9 }));
  assert.equal(table.getReady('s').length, 0);
  table.merge(createAnnouncement({ bornAt: 2000 }));
  assert.equal(table.getReady('s').length, 1);
});

// Guards against requests to an upstream that left, from a process that knew its last announcement.
test('a departure is merged over an announcement with the same sequence number', () => {
  const table = createTable();
  table.merge(createAnnouncement({ sequence: 5 }));
  assert.equal(table.merge(createAnnouncement({ sequence: 5, state: 'gone' })), 'changed');
  assert.deepEqual(table.getReady('s'), []);
});

// Guards against requests to an upstream that left, after a heartbeat that arrived late elsewhere.
test('a departure is merged over a later heartbeat of its incarnation', () => {
  const table = createTable();
  table.merge(createAnnouncement({ sequence: 6 }));
  assert.equal(table.merge(createAnnouncement({ sequence: 5, state: 'gone' })), 'changed');
  assert.deepEqual(table.getReady('s'), []);
  assert.equal(table.getUpstream('a')?.sequence, 6);
});

// Guards against processes that disagree for good, because updates reach them in different orders.
test('the ready upstreams are the same in any order of arrival', () => {
  const deliveries = fc.array(announcements, { maxLength: 8 }).chain((sample) =>
    fc.record({
      sample: fc.constant(sample),
      shuffled: fc.shuffledSubarray(sample, { minLength: sample.length }),
    }),
  );
  fc.assert(
    fc.property(deliveries, ({ sample, shuffled }) => {
      const [ready, readyAfterShuffle] = [sample, shuffled].map((order) => {
        const table = createTable();
        for (const fields of order)
          table.merge(createAnnouncement({ ...fields, address: fields.id }));
        return table.getReady('s').map(({ id, bornAt, sequence }) => ({ id, bornAt, sequence }));
      });
      assert.deepEqual(new Set(readyAfterShuffle), new Set(ready));
    }),
    { seed: 12, numRuns: 1000 },
  );
});

test('a delayed announcement does not claim the address of a newer upstream', () => {
  const table = createTable();
  table.merge(createAnnouncement({ id: 'newer', bornAt: 2000, service: 'other' }));
  assert.equal(table.merge(createAnnouncement()), 'ignored');
  assert.deepEqual(table.getReady('s'), []);
});

test('a newer upstream at the same address marks the older one as gone', () => {
  const table = createTable();
  table.merge(createAnnouncement());
  table.merge(createAnnouncement({ id: 'newer', bornAt: 2000, service: 'other' }));
  assert.deepEqual(table.getReady('s'), []);
  assert.equal(table.getReady('other').length, 1);
});

test('the highest incarnation and sequence win in any order of arrival', () => {
  fc.assert(
    fc.property(fc.array(announcements, { maxLength: 12 }), (sample) => {
      const table = createTable();
      for (const fields of sample)
        table.merge(createAnnouncement({ ...fields, address: fields.id }));
      for (const record of table.getRecords()) {
        const own = sample.filter(({ id }) => id === record.id);
        const bornAt = Math.max(...own.map((each) => each.bornAt));
        const last = own.filter((each) => each.bornAt === bornAt);
        assert.equal(record.bornAt, bornAt);
        assert.equal(record.sequence, Math.max(...last.map((each) => each.sequence)));
      }
    }),
    { seed: 11 },
  );
});

test('silent upstreams and expired tombstones are removed', () => {
  let now = 0;
  const table = new UpstreamTable({ now: () => now, silenceTimeoutMs: 100, tombstoneTtlMs: 50 });
  table.merge(createAnnouncement());
  table.merge(createAnnouncement({ id: 'b', address: 'b' }));
  table.markGone('b');
  now = 60;
  table.removeExpired();
  assert.deepEqual(
    table.getRecords().map(({ id }) => id),
    ['a'],
  );
  now = 200;
  table.removeExpired();
  assert.deepEqual(table.getRecords(), []);
});

test('an evacuated data centre keeps its upstreams, which get no new requests', () => {
  const table = createTable();
  table.merge(createAnnouncement({ id: 'a', dataCentre: 'd' }));
  table.merge(createAnnouncement({ id: 'b', dataCentre: 'e', address: '10.0.0.2:80' }));
  table.setEvacuated(['d']);
  assert.deepEqual(
    table.getReady('s').map(({ id }) => id),
    ['b'],
  );
  assert.deepEqual([table.isOpen('a'), table.isOpen('b'), table.isOpen('c')], [false, true, false]);
  assert.equal(table.isEvacuated('s'), false);
  assert.equal(table.getUpstream('a')?.state, 'ready');
  table.setEvacuated([]);
  assert.equal(table.getReady('s').length, 2);
});

test('upstreams that register in an evacuated data centre get no requests until it is back', () => {
  const table = createTable();
  table.setEvacuated(['d']);
  assert.equal(table.isEvacuated('s'), false);
  table.merge(createAnnouncement());
  assert.equal(table.isOpen('a'), false);
  assert.equal(table.isEvacuated('s'), true);
  table.merge(createAnnouncement({ bornAt: 2000, state: 'draining' }));
  assert.equal(table.isEvacuated('s'), false);
  table.setEvacuated([]);
  assert.equal(table.isOpen('a'), false);
});

function createClockedTable() {
  const clock = { now: 10_000 };
  return { clock, table: new UpstreamTable({ now: () => clock.now }) };
}

test('a cold time counts from the announcement, whatever its age', () => {
  const { clock, table } = createClockedTable();
  table.merge(createAnnouncement({ coldMs: 3000 }), 1000);
  const coldMs = table.getColdMs('a');
  assert.ok(coldMs >= 2000 && coldMs <= 2200, `${coldMs}`);
  clock.now += 1900;
  assert.ok(table.getColdMs('a') > 0);
  clock.now += 400;
  assert.equal(table.getColdMs('a'), 0);
  assert.equal(table.getColdMs('unknown'), 0);
});

// Guards against processes that learn late that an upstream is cold again.
test('an upstream that turns cold has changed, one that only stays cold has not', () => {
  const { clock, table } = createClockedTable();
  table.merge(createAnnouncement({ coldMs: 0 }));
  clock.now += 1200;
  assert.equal(table.merge(createAnnouncement({ sequence: 2, coldMs: 3000 })), 'changed');
  clock.now += 1200;
  assert.equal(table.merge(createAnnouncement({ sequence: 3, coldMs: 1800 })), 'refreshed');
  clock.now += 1200;
  assert.equal(table.merge(createAnnouncement({ sequence: 4, coldMs: 3000 })), 'changed');
});

test('a new incarnation under the same id is cold on its own', () => {
  const { clock, table } = createClockedTable();
  table.merge(createAnnouncement({ coldMs: 3000 }));
  clock.now += 5000;
  assert.equal(table.getColdMs('a'), 0);
  table.merge(createAnnouncement({ bornAt: 2000, coldMs: 3000 }));
  assert.ok(table.getColdMs('a') >= 3000);
});

test('upstreams of a data centre that is taken back count as cold until they announce themselves', () => {
  const { clock, table } = createClockedTable();
  const other = { id: 'b', address: '10.0.0.2:80', dataCentre: 'e' };
  table.merge(createAnnouncement({ coldMs: 0 }));
  table.merge(createAnnouncement(other));
  clock.now += 1000;
  table.assumeCold(({ dataCentre }) => dataCentre === 'd', 2000);
  assert.ok(table.getColdMs('a') >= 2000);
  assert.equal(table.getColdMs('b'), 0);
  clock.now += 500;
  table.merge(createAnnouncement({ coldMs: 0 }));
  assert.ok(table.getColdMs('a') > 0);
  table.merge(createAnnouncement({ sequence: 2, coldMs: 0 }));
  assert.equal(table.getColdMs('a'), 0);
});

test('an assumed cold time ends without an announcement', () => {
  const { clock, table } = createClockedTable();
  table.merge(createAnnouncement());
  table.assumeCold(({ dataCentre }) => dataCentre === 'd', 2000);
  clock.now += 2200;
  assert.equal(table.getColdMs('a'), 0);
});

test('an evacuation that ends leaves the upstreams cold until they announce themselves', () => {
  const table = createTable();
  table.merge(createAnnouncement({ id: 'a', dataCentre: 'd' }));
  table.merge(createAnnouncement({ id: 'b', dataCentre: 'e', address: '10.0.0.2:80' }));
  table.setEvacuated(['d', 'e']);
  table.setEvacuated(['e']);
  assert.ok(table.getColdMs('a') > 0);
  assert.equal(table.getColdMs('b'), 0);
});

test('an upstream that was silent for long and announces itself has changed', () => {
  let now = 0;
  const table = new UpstreamTable({ now: () => now, silenceTimeoutMs: 1000 });
  table.merge(createAnnouncement());
  now = 400;
  assert.equal(table.merge(createAnnouncement({ sequence: 2 })), 'refreshed');
  now = 1000;
  assert.equal(table.merge(createAnnouncement({ sequence: 3 })), 'changed');
});

test('a remembered upstream is removed unless it announces itself', () => {
  let now = 0;
  const table = new UpstreamTable({ now: () => now, silenceTimeoutMs: 10_000 });
  table.remember(createAnnouncement(), 3000);
  table.remember(createAnnouncement({ id: 'b', address: '10.0.0.2:80' }), 3000);
  now = 2000;
  assert.equal(table.merge(createAnnouncement({ sequence: 2, coldMs: 0 })), 'changed');
  assert.equal(table.getColdMs('a'), 0);
  assert.ok(table.getColdMs('b') > 0);
  now = 3001;
  table.removeExpired();
  assert.deepEqual(
    table.getReady('s').map(({ id }) => id),
    ['a'],
  );
});
