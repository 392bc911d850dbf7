import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DeadlineAdmission, FairQueue } from '../../src/index.js';
import type { Refusal, Work } from '../../src/index.js';
import { createEngine, createLedger, createWork } from '../samples.js';

function admit(
  work: Work,
  queued: Work[] = [],
  engines = [createEngine('a')],
): Refusal | undefined {
  const queue = new FairQueue(() => ({ urgent: 0, standard: 0, batch: 0 }));
  queued.forEach((each) => queue.add(each));
  const ledger = createLedger(...engines);
  return new DeadlineAdmission(() => 0).getRefusal({ work, queue, ledger, now: 0 });
}

function createMany(count: number, changes: Partial<Work> = {}): Work[] {
  return Array.from({ length: count }, () => createWork({ customer: 'large', ...changes }));
}

test('an idle engine admits', () => {
  assert.equal(admit(createWork()), undefined);
});

test('a deadline that cannot be kept is refused with no time to come back', () => {
  assert.deepEqual(admit(createWork({ dueAt: 500 })), { reason: 'deadline', retryAfterMs: 0 });
});

test('a queue that takes too long is refused with a time to come back', () => {
  const refusal = admit(createWork({ customer: 'large' }), createMany(100));
  assert.equal(refusal?.reason, 'deadline');
  assert.ok((refusal?.retryAfterMs ?? 0) > 0);
});

test('the queue of a large customer does not refuse a small one', () => {
  assert.equal(admit(createWork({ customer: 'small' }), createMany(100)), undefined);
});

test('a flood of batch work does not refuse urgent work', () => {
  const flood = createMany(200, { priority: 'batch' });
  assert.equal(admit(createWork({ priority: 'urgent', queueLimitMs: 600 }), flood), undefined);
});

test('no engine is told apart from too large', () => {
  assert.equal(admit(createWork(), [], [])?.reason, 'no-engine');
  assert.equal(admit(createWork({ promptTokens: 50_000 }))?.reason, 'too-large');
});
