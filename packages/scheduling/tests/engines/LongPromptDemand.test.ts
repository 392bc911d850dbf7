import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LongPromptDemand } from '../../src/engines/LongPromptDemand.js';

test('the demand is the mean number of engines that long prompts occupy', () => {
  const clock = { now: 0 };
  const demand = new LongPromptDemand({ now: () => clock.now });
  clock.now = 3000;
  demand.recordArrival(6000);
  demand.recordArrival(2000);
  clock.now = 4000;
  assert.equal(demand.getEngineCount(), 2);
  clock.now = 7000;
  assert.equal(demand.getEngineCount(), 0);
});

test('a demand that is not known yet counts as infinite', () => {
  const demand = new LongPromptDemand({ now: () => 100 });
  assert.equal(demand.getEngineCount(), Infinity);
});

test('the largest prompts that engines can serve together leave none to larger ones', () => {
  const clock = { now: 0 };
  const demand = new LongPromptDemand({ now: () => clock.now });
  clock.now = 4000;
  [3000, 40_000, 1000, 4000].forEach((engineMs) => demand.recordArrival(engineMs));
  assert.equal(demand.getLargestMs(2), 4000);
  assert.equal(demand.getLargestMs(1), 3000);
  assert.equal(demand.getLargestMs(12), Infinity);
});
