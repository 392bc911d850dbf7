import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StartGate } from '../../src/entry/StartGate.js';

const { signal } = new AbortController();

test('a request that comes right after the start waits for what it needs', async () => {
  const gate = new StartGate();
  let value: string | undefined;
  setTimeout(() => {
    value = 'known';
  }, 50);
  assert.equal(await gate.wait(() => value, signal), 'known');
});

test('after the start nothing waits', async () => {
  let now = 0;
  const gate = new StartGate({ openForMs: 100, now: () => now });
  now = 101;
  let looks = 0;
  const look = (): undefined => {
    looks += 1;
  };
  assert.equal(await gate.wait(look, signal), undefined);
  assert.equal(looks, 1);
});

test('no more than the capacity wait', async () => {
  const gate = new StartGate({ openForMs: 200, capacity: 1 });
  const startedAt = performance.now();
  const first = gate.wait(() => undefined, signal);
  assert.equal(await gate.wait(() => undefined, signal), undefined);
  assert.ok(performance.now() - startedAt < 150);
  assert.equal(await first, undefined);
});

test('a client that leaves waits no longer', async () => {
  const gate = new StartGate({ openForMs: 60_000 });
  const controller = new AbortController();
  setTimeout(() => controller.abort(), 30);
  assert.equal(await gate.wait(() => undefined, controller.signal), undefined);
});
