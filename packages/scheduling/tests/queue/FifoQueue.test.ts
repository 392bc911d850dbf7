import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FifoQueue } from '../../src/index.js';
import { createWorkItem } from '../samples.js';

test('a placed work item is no longer a candidate', () => {
  const queue = new FifoQueue();
  const [first, second] = [
    createWorkItem({ priority: 'batch' }),
    createWorkItem({ priority: 'urgent' }),
  ];
  queue.add(first);
  queue.add(second);
  queue.onPlaced(first);
  assert.equal(queue.getCandidates()[0]?.work, second);
  assert.equal(queue.size, 1);
});
