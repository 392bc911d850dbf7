import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { StallTimer } from '../../src/entry/StallTimer.js';

// Guards against stalled work for which a place is sought once, at a moment without one.
test('a search that finds no place is repeated soon', async ({ mock }) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  let calls = 0;
  const timer = new StallTimer(() => {
    calls += 1;
    return Promise.resolve(calls === 3);
  });
  timer.restart(5000);
  for (const ms of [5000, 500, 500, 500]) {
    mock.timers.tick(ms);
    await nextTurn();
  }
  assert.equal(calls, 3);
});
