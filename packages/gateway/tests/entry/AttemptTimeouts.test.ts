import assert from 'node:assert/strict';
import { test } from 'node:test';
import { getAttemptTimeouts } from '../../src/entry/AttemptTimeouts.js';

const LONG = { kind: 'stream', objectiveMs: 4000, pauseMs: 1000 } as const;

// Guards against a prompt that an engine accepts and never begins, of which nobody asks in time.
test('a prompt that is expected late is searched another place while it can be served', () => {
  const expectedMs = 3500;
  const { firstResponseMs } = getAttemptTimeouts(LONG, expectedMs, 10_400);
  assert.ok(firstResponseMs > expectedMs * 1.2, `${firstResponseMs} ms`);
  assert.ok(firstResponseMs + expectedMs < 10_400, `${firstResponseMs} ms`);
});

test('a prompt without an estimate is searched another place in half of the time left', () => {
  assert.equal(getAttemptTimeouts(LONG, undefined, 10_400).firstResponseMs, 5200);
});

test('a short prompt is not searched another place before one second', () => {
  assert.equal(getAttemptTimeouts(LONG, 100, 10_400).firstResponseMs, 1000);
});
