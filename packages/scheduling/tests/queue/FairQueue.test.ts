import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FairQueue } from '../../src/index.js';
import type { Work } from '../../src/index.js';
import { createWorkItem } from '../samples.js';

const NO_SHARES = { urgent: 0, standard: 0, batch: 0 };

function createQueue(...works: Work[]): FairQueue {
  const queue = new FairQueue(() => NO_SHARES);
  works.forEach((work) => queue.add(work));
  return queue;
}

function serve(queue: FairQueue, count: number): Work[] {
  return Array.from({ length: count }, () => {
    const [first] = queue.getCandidates(1);
    assert.ok(first);
    queue.onPlaced(first.work, 0);
    return first.work;
  });
}

function names(works: Work[]): string {
  return works.map((work) => work.customer).join('');
}

function many(customer: string, number: number, changes: Partial<Work> = {}): Work[] {
  return Array.from({ length: number }, () => createWorkItem({ customer, ...changes }));
}

test('urgent work is first', () => {
  const queue = createQueue(
    createWorkItem({ priority: 'batch' }),
    createWorkItem({ priority: 'urgent' }),
  );
  assert.equal(queue.getCandidates(1)[0]?.work.priority, 'urgent');
});

test('customers take turns', () => {
  const queue = createQueue(...many('a', 4), ...many('b', 4));
  assert.equal(names(serve(queue, 8)), 'abababab');
});

test('a large customer does not delay a small one', () => {
  const queue = createQueue(...many('a', 100), ...many('b', 1));
  assert.ok(names(serve(queue, 2)).includes('b'));
});

test('turns are by tokens, not by requests', () => {
  const queue = createQueue(...many('a', 4, { promptTokens: 9600 }), ...many('b', 40));
  const served = serve(queue, 12);
  assert.ok(served.filter((work) => work.customer === 'a').length <= 2);
});

test('a higher weight gets more turns', () => {
  const queue = createQueue(...many('a', 9, { weight: 2 }), ...many('b', 9));
  const served = names(serve(queue, 9));
  assert.equal([...served].filter((name) => name === 'a').length, 6);
});

test('idling earns no credit', () => {
  const queue = createQueue(...many('a', 20));
  serve(queue, 10);
  many('b', 10).forEach((work) => queue.add(work));
  const served = names(serve(queue, 10));
  assert.equal([...served].filter((name) => name === 'b').length, 5);
});

test('a cancelled work costs its customer nothing', () => {
  const [first, second] = [...many('a', 2)];
  const queue = createQueue(first, ...many('b', 1));
  queue.remove(first?.id ?? '');
  queue.add(second);
  assert.equal(queue.size, 2);
  assert.equal(names(serve(queue, 2)).length, 2);
});

test('a priority below its minimum share comes first', () => {
  const queue = new FairQueue(() => ({ urgent: 0, standard: 0, batch: 0.2 }));
  many('u', 100, { priority: 'urgent' }).forEach((work) => queue.add(work));
  many('p', 100, { priority: 'batch' }).forEach((work) => queue.add(work));
  const served = names(serve(queue, 50));
  const share = [...served].filter((name) => name === 'p').length / 50;
  assert.ok(share >= 0.2 && share <= 0.26, `batch got ${share}`);
});

test('work ahead counts higher priorities and earlier turns only', () => {
  const queue = createQueue(
    ...many('a', 10),
    ...many('u', 3, { priority: 'urgent' }),
    ...many('p', 3, { priority: 'batch' }),
  );
  assert.equal(queue.getAhead(createWorkItem({ customer: 'b' })).length, 4);
});
