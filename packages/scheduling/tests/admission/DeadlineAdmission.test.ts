import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DeadlineAdmission, FairQueue } from '../../src/index.js';
import type { Refusal, WorkItem } from '../../src/index.js';
import { createEngine, createLedger, createWorkItem } from '../samples.js';

function admit(
  work: WorkItem,
  queued: WorkItem[] = [],
  engines = [createEngine('a')],
): Refusal | undefined {
  const queue = new FairQueue(() => ({ urgent: 0, standard: 0, batch: 0 }));
  queued.forEach((each) => queue.add(each));
  const ledger = createLedger(...engines);
  return new DeadlineAdmission(() => 0).getRefusal({ work, queue, ledger, now: 0 });
}

function createWorkItems(count: number, changes: Partial<WorkItem> = {}): WorkItem[] {
  return Array.from({ length: count }, () => createWorkItem({ customer: 'large', ...changes }));
}

test('a work item is admitted when an engine is idle', () => {
  assert.equal(admit(createWorkItem()), undefined);
});

test('a deadline that no engine can meet is refused without a retry delay', () => {
  assert.deepEqual(admit(createWorkItem({ dueAt: 500 })), { reason: 'deadline', retryAfterMs: 0 });
});

test('a work item whose expected wait is too long is refused with a retry delay', () => {
  const refusal = admit(createWorkItem({ customer: 'large' }), createWorkItems(100));
  assert.equal(refusal?.reason, 'deadline');
  assert.ok((refusal?.retryAfterMs ?? 0) > 0);
});

test('a long queue of one customer does not cause the refusal of another customer', () => {
  assert.equal(admit(createWorkItem({ customer: 'small' }), createWorkItems(100)), undefined);
});

test('a long queue of batch work does not cause the refusal of urgent work', () => {
  const flood = createWorkItems(200, { priority: 'batch' });
  assert.equal(admit(createWorkItem({ priority: 'urgent', queueLimitMs: 600 }), flood), undefined);
});

test('a missing engine and a prompt beyond all memory give different reasons', () => {
  assert.equal(admit(createWorkItem(), [], [])?.reason, 'no-engine');
  assert.equal(admit(createWorkItem({ promptTokens: 50_000 }))?.reason, 'too-large');
});
