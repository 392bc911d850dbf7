import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StartupGate } from '../../src/entry/StartupGate.js';

const { signal } = new AbortController();

test('a request right after the start waits until the value is available', async () => {
  const gate = new StartupGate();
  let value: string | undefined;
  setTimeout(() => {
    value = 'known';
  }, 50);
  assert.equal(await gate.wait(() => value, signal), 'known');
});

test('no request waits after the startup window', async () => {
  let now = 0;
  const gate = new StartupGate({ windowMs: 100, now: () => now });
  now = 101;
  let polls = 0;
  const poll = (): undefined => {
    polls += 1;
  };
  assert.equal(await gate.wait(poll, signal), undefined);
  assert.equal(polls, 1);
});

test('a request beyond the maximum number of waiting requests does not wait', async () => {
  const gate = new StartupGate({ windowMs: 200, maxWaiting: 1 });
  const startedAt = performance.now();
  const first = gate.wait(() => undefined, signal);
  assert.equal(await gate.wait(() => undefined, signal), undefined);
  assert.ok(performance.now() - startedAt < 150);
  assert.equal(await first, undefined);
});

test('the wait ends when the client disconnects', async () => {
  const gate = new StartupGate({ windowMs: 60_000 });
  const controller = new AbortController();
  setTimeout(() => controller.abort(), 30);
  assert.equal(await gate.wait(() => undefined, controller.signal), undefined);
});
