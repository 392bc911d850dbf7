import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SpareCapacity } from '../../src/engines/SpareCapacity.js';

function run(arrivals: number[], placementCount: number): SpareCapacity {
  const spare = new SpareCapacity({ now: () => 5000 });
  arrivals.forEach((priority) => spare.recordArrival(priority));
  for (let count = 0; count < placementCount; count += 1) spare.recordPlacement();
  return spare;
}

test('prompts that wait behind all new ones get the turns that those leave', () => {
  const spare = run([0, 0, 0, 0], 8);
  assert.equal(spare.getWaitMs(2, 0), 1000);
});

test('while as many arrive as are placed, there is no turn', () => {
  assert.equal(run([0, 0, 0], 3).getWaitMs(1, 0), Infinity);
  assert.equal(run([0, 0, 0, 0], 3).getWaitMs(1, 0), Infinity);
});

test('less urgent prompts do not count as ahead', () => {
  const spare = run([0, 2, 2, 2], 3);
  assert.equal(spare.getWaitMs(1, 0), 1000);
  assert.equal(spare.getWaitMs(1, 2), Infinity);
});

test('what is two seconds ago does not count', () => {
  const clock = { now: 0 };
  const spare = new SpareCapacity({ now: () => clock.now });
  spare.recordArrival(0);
  clock.now = 2000;
  spare.recordPlacement();
  assert.equal(spare.getWaitMs(1, 0), 2000);
});
