import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  CapacityEstimator,
  LengthAwarePlacement,
  DeadlineAdmission,
  FairQueue,
  QueueLengthAdmission,
  Scheduler,
} from '../../src/index.js';
import type { Ledger, WorkPriority } from '../../src/index.js';
import { createEngine, createLedger, createReservation, createWorkItem } from '../samples.js';

let now = 0;

function createScheduler(ledger: Ledger, admitsAll = true): Scheduler {
  now = 0;
  return new Scheduler({
    ledger,
    queue: new FairQueue(() => ({ urgent: 0, standard: 0.1, batch: 0.05 })),
    admission: admitsAll ? new QueueLengthAdmission() : new DeadlineAdmission(() => 0),
    placement: new LengthAwarePlacement(),
    startWithinMs: 1000,
    isPreemptive: true,
    now: () => now,
  });
}

test('a grant reserves memory for the prompt and the maximum answer', () => {
  const ledger = createLedger(createEngine('a'));
  const scheduler = createScheduler(ledger);
  scheduler.submit(createWorkItem(), 's');
  assert.equal(scheduler.dispatch().length, 1);
  assert.equal(ledger.getEngine('a')?.reservedTokens, 1100);
});

test('expired work is removed without running', () => {
  const scheduler = createScheduler(createLedger());
  scheduler.submit(createWorkItem({ queueLimitMs: 100 }), 's');
  now = 101;
  assert.equal(scheduler.expire()[0]?.reason, 'expired');
  assert.equal(scheduler.dispatch().length, 0);
});

test('batch work is preempted by urgent work that does not fit', () => {
  const engine = createEngine('a');
  engine.addReservation(createReservation({ tokens: 9500, isDecoding: true }));
  const scheduler = createScheduler(createLedger(engine));
  scheduler.submit(createWorkItem({ priority: 'urgent' }), 's');
  assert.equal(scheduler.dispatch().length, 0);
  assert.equal(scheduler.findVictims().length, 0, 'no preemption before the delay');
  now = 50;
  assert.equal(scheduler.findVictims().length, 1);
});

test('nothing is preempted while an engine has enough free memory', () => {
  const [a, b] = [createEngine('a'), createEngine('b')];
  a.addReservation(createReservation({ tokens: 9500, isDecoding: true }));
  b.addReservation(
    createReservation({ prefillTokens: 9000, enginePriority: 0, priority: 'urgent' }),
  );
  const scheduler = createScheduler(createLedger(a, b));
  scheduler.submit(createWorkItem({ priority: 'urgent' }), 's');
  now = 50;
  assert.equal(scheduler.dispatch().length, 0, 'the backlog delays the placement');
  assert.equal(scheduler.findVictims().length, 0);
});

test('work that runs for its minimum share is not preempted', () => {
  const engine = createEngine('a');
  engine.addReservation(createReservation({ tokens: 9500, isDecoding: true, isPausable: false }));
  const scheduler = createScheduler(createLedger(engine));
  scheduler.submit(createWorkItem({ priority: 'urgent' }), 's');
  now = 50;
  assert.equal(scheduler.findVictims().length, 0);
});

// Guards against engines of one shard that are slower than announced and get as much as others.
test('an engine whose first tokens come late gets fewer prompts', () => {
  const ids = ['a', 'b', 'c', 'd'];
  const ledger = createLedger(...ids.map((id) => createEngine(id)));
  now = 0;
  const capacity = new CapacityEstimator({ now: () => now, comparesKinds: true });
  const scheduler = new Scheduler({
    ledger,
    queue: new FairQueue(() => ({ urgent: 0, standard: 0.1, batch: 0.05 })),
    admission: new QueueLengthAdmission(),
    placement: new LengthAwarePlacement({ capacity }),
    startWithinMs: 1000,
    isPreemptive: true,
    now: () => now,
    capacity,
  });
  /** Runs prompts that arrive together and returns how many the slow engine got. */
  const runRound = (): number => {
    const startedAt = now;
    Array.from({ length: 3 }, () => scheduler.submit(createWorkItem({ dueAt: Infinity }), 's'));
    const ends = scheduler.dispatch().map(({ work, placement }) => {
      const { id } = placement.shares[0]?.engine ?? createEngine('');
      const ms = (placement.expectedMs ?? 0) * (id === 'a' ? 4 : 1);
      return { request: work.id, id, at: startedAt + ms };
    });
    ends.sort((a, b) => a.at - b.at);
    for (const { request, at } of ends) {
      now = at;
      scheduler.markDecoding(request);
      ledger.removeRequest(request);
    }
    return ends.filter(({ id }) => id === 'a').length;
  };
  const first = Array.from({ length: 3 }, runRound).reduce((sum, count) => sum + count);
  Array.from({ length: 10 }, runRound);
  const later = Array.from({ length: 20 }, runRound).reduce((sum, count) => sum + count);
  assert.equal(first, 3);
  assert.ok(later < 5, `${later} of 60`);
});

test('a resumed work item skips admission', () => {
  const scheduler = createScheduler(createLedger(createEngine('a')), false);
  const late = { dueAt: 500, queueLimitMs: 500 };
  const refused = scheduler.submit(createWorkItem(late), 's');
  assert.ok(refused.isErr() && refused.error.reason === 'deadline');
  assert.ok(scheduler.submit(createWorkItem({ ...late, isResumed: true }), 's').isOk());
});

test('urgent work is not preempted', () => {
  const engine = createEngine('a');
  engine.addReservation(
    createReservation({ tokens: 9500, priority: 'urgent', isDecoding: true, isPausable: false }),
  );
  const scheduler = createScheduler(createLedger(engine));
  scheduler.submit(createWorkItem({ priority: 'urgent' }), 's');
  now = 50;
  assert.equal(scheduler.findVictims().length, 0);
});

test('reservations never exceed engine memory and are all released', () => {
  const work = fc.record({
    promptTokens: fc.integer({ min: 1, max: 28_000 }),
    maxTokens: fc.integer({ min: 1, max: 500 }),
    priority: fc.constantFrom<WorkPriority>('urgent', 'standard', 'batch'),
    customer: fc.constantFrom('a', 'b', 'c'),
  });
  const step = fc.oneof(
    work.map((changes) => ({ kind: 'submit' as const, changes })),
    fc.nat(20).map((which) => ({ kind: 'release' as const, which })),
    fc.nat(20).map((which) => ({ kind: 'cancel' as const, which })),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const engines = ['a', 'b', 'c'].map((id) => createEngine(id));
      const ledger = createLedger(...engines);
      const scheduler = createScheduler(ledger);
      const queued: string[] = [];
      const running: string[] = [];
      for (const each of steps) {
        now += 10;
        if (each.kind === 'submit') {
          const created = createWorkItem({
            ...each.changes,
            arrivedAt: now,
            dueAt: now + 1e6,
            isLong: each.changes.promptTokens > 5000,
          });
          if (scheduler.submit(created, 's').isOk()) queued.push(created.id);
        }
        if (each.kind === 'cancel') scheduler.cancel(queued[each.which] ?? '');
        if (each.kind === 'release') ledger.removeRequest(running.splice(each.which, 1)[0] ?? '');
        running.push(...scheduler.dispatch().map((grant) => grant.work.id));
        assert.ok(ledger.isConsistent());
        assert.ok(engines.every((engine) => engine.freeTokens >= 0));
      }
      running.forEach((id) => ledger.removeRequest(id));
      assert.ok(engines.every((engine) => engine.reservedTokens === 0));
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('large prompts do not deadlock and all run', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 11_000, max: 29_000 }), { maxLength: 12 }), (sizes) => {
      const ledger = createLedger(...['a', 'b', 'c'].map((id) => createEngine(id)));
      const scheduler = createScheduler(ledger);
      const items = sizes.map((promptTokens) => createWorkItem({ promptTokens, isLong: true }));
      items.forEach((work) => scheduler.submit(work, 's'));
      let done = 0;
      for (let round = 0; round < items.length; round += 1) {
        for (const { work } of scheduler.dispatch()) {
          ledger.removeRequest(work.id);
          done += 1;
        }
      }
      assert.equal(done, items.length);
    }),
    { seed: 5, numRuns: 100 },
  );
});

// Guards against large prompts that wait for the turn of one that has left the queue.
test('a large prompt that is cancelled or expires makes way for the next one', () => {
  const engines = ['a', 'b'].map((id) => createEngine(id));
  engines.forEach((engine) => engine.addReservation(createReservation({ request: 'other' })));
  const ledger = createLedger(...engines);
  const scheduler = createScheduler(ledger);
  const large = { promptTokens: 19_000, isLong: true };
  const [cancelled, expired, last] = [
    createWorkItem(large),
    createWorkItem({ ...large, queueLimitMs: 100 }),
    createWorkItem(large),
  ];
  [cancelled, expired, last].forEach((work) => scheduler.submit(work, 's'));
  assert.equal(scheduler.dispatch().length, 0);
  scheduler.cancel(cancelled.id);
  assert.equal(scheduler.dispatch().length, 0);
  now = 101;
  assert.equal(scheduler.expire().length, 1);
  ledger.removeRequest('other');
  assert.equal(scheduler.dispatch()[0]?.work.id, last.id);
});
