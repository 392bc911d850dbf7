import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FairQueue } from '../../src/index.js';
import type { WorkItem } from '../../src/index.js';
import { createWorkItem } from '../samples.js';

const NO_SHARES = { urgent: 0, standard: 0, batch: 0 };

function createQueue(...items: WorkItem[]): FairQueue {
  const queue = new FairQueue(() => NO_SHARES);
  items.forEach((work) => queue.add(work));
  return queue;
}

function serve(queue: FairQueue, count: number): WorkItem[] {
  return Array.from({ length: count }, () => {
    const [first] = queue.getCandidates(1);
    assert.ok(first);
    queue.onPlaced(first.work, 0);
    return first.work;
  });
}

function getCustomers(items: WorkItem[]): string {
  return items.map((work) => work.customer).join('');
}

function createWorkItems(
  customer: string,
  count: number,
  changes: Partial<WorkItem> = {},
): WorkItem[] {
  return Array.from({ length: count }, () => createWorkItem({ customer, ...changes }));
}

test('urgent work is served first', () => {
  const queue = createQueue(
    createWorkItem({ priority: 'batch' }),
    createWorkItem({ priority: 'urgent' }),
  );
  assert.equal(queue.getCandidates(1)[0]?.work.priority, 'urgent');
});

test('customers of equal weight are served in turn', () => {
  const queue = createQueue(...createWorkItems('a', 4), ...createWorkItems('b', 4));
  assert.equal(getCustomers(serve(queue, 8)), 'abababab');
});

test('a large customer does not delay a small one', () => {
  const queue = createQueue(...createWorkItems('a', 100), ...createWorkItems('b', 1));
  assert.ok(getCustomers(serve(queue, 2)).includes('b'));
});

test('customers share by token cost, not by number of requests', () => {
  const queue = createQueue(
    ...createWorkItems('a', 4, { promptTokens: 9600 }),
    ...createWorkItems('b', 40),
  );
  const served = serve(queue, 12);
  assert.ok(served.filter((work) => work.customer === 'a').length <= 2);
});

test('customers share in proportion to their weights', () => {
  const queue = createQueue(...createWorkItems('a', 9, { weight: 2 }), ...createWorkItems('b', 9));
  const served = getCustomers(serve(queue, 9));
  assert.equal([...served].filter((name) => name === 'a').length, 6);
});

test('an idle customer gains no credit', () => {
  const queue = createQueue(...createWorkItems('a', 20));
  serve(queue, 10);
  createWorkItems('b', 10).forEach((work) => queue.add(work));
  const served = getCustomers(serve(queue, 10));
  assert.equal([...served].filter((name) => name === 'b').length, 5);
});

test('a cancelled work item is not charged to its customer', () => {
  const [first, second] = [...createWorkItems('a', 2)];
  const queue = createQueue(first, ...createWorkItems('b', 1));
  queue.remove(first?.id ?? '');
  queue.add(second);
  assert.equal(queue.size, 2);
  assert.equal(getCustomers(serve(queue, 2)).length, 2);
});

test('a priority below its minimum share is served first', () => {
  const queue = new FairQueue(() => ({ urgent: 0, standard: 0, batch: 0.2 }));
  createWorkItems('u', 100, { priority: 'urgent' }).forEach((work) => queue.add(work));
  createWorkItems('b', 100, { priority: 'batch' }).forEach((work) => queue.add(work));
  const served = getCustomers(serve(queue, 50));
  const share = [...served].filter((name) => name === 'b').length / 50;
  assert.ok(share >= 0.2 && share <= 0.26, `batch got ${share}`);
});

test('work ahead counts only higher priorities and earlier start tags', () => {
  const queue = createQueue(
    ...createWorkItems('a', 10),
    ...createWorkItems('u', 3, { priority: 'urgent' }),
    ...createWorkItems('batch', 3, { priority: 'batch' }),
  );
  assert.equal(queue.getAhead(createWorkItem({ customer: 'b' })).length, 4);
});
