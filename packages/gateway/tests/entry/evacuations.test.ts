import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { TestEntry, TestEntryOptions } from './startEntry.js';

const sound: Script = (socket, request) =>
  socket.write(formatResponse(request, '200 OK', 'x', ['signed: yes']));

const slow: Script = (socket, request) => {
  setTimeout(() => sound(socket, request), 200);
};

async function waitUntil(condition: () => boolean): Promise<void> {
  const endsAt = performance.now() + 5000;
  while (!condition()) {
    assert.ok(performance.now() < endsAt, 'timed out waiting for a condition');
    await sleep(5);
  }
}

/** Runs a test with an upstream in data centre `near`, which is preferred, and one in `far-1`. */
async function withUpstreams(
  run: (entry: TestEntry, received: () => number[]) => Promise<void>,
  { preferred = sound, ...options }: TestEntryOptions & { preferred?: Script } = {},
): Promise<void> {
  const upstreams = [await ScriptedUpstream.start(preferred), await ScriptedUpstream.start(sound)];
  const entry = await startEntry(upstreams, {}, options);
  try {
    await run(entry, () => upstreams.map(({ received }) => received.length));
  } finally {
    entry.stop();
  }
}

test('an evacuated data centre gets nothing until it is taken back', () =>
  withUpstreams(async (entry, received) => {
    entry.view.updateEvacuations({ revision: 1, dataCentres: ['near'] });
    assert.equal((await entry.send()).status, 200);
    assert.deepEqual(received(), [0, 1]);
    entry.view.updateEvacuations({ revision: 2, dataCentres: [] });
    assert.equal((await entry.send()).status, 200);
    assert.deepEqual(received(), [1, 1]);
  }));

test('an older update does not bring a data centre back', () =>
  withUpstreams(async (entry, received) => {
    entry.view.updateEvacuations({ revision: 5, dataCentres: ['near'] });
    entry.view.updateEvacuations({ revision: 4, dataCentres: [] });
    await entry.send();
    assert.deepEqual(received(), [0, 1]);
  }));

test('what runs in a data centre that is evacuated goes on to its end', () =>
  withUpstreams(
    async (entry, received) => {
      const response = entry.send();
      await waitUntil(() => received()[0] === 1);
      entry.view.updateEvacuations({ revision: 1, dataCentres: ['near'] });
      assert.equal((await response).status, 200);
      assert.deepEqual(received(), [1, 0]);
    },
    { preferred: slow },
  ));

test('a retry goes to another data centre', () =>
  withUpstreams(
    async (entry, received) => {
      const response = entry.send();
      await waitUntil(() => received()[0] === 1);
      entry.view.updateEvacuations({ revision: 1, dataCentres: ['near'] });
      assert.equal((await response).status, 200);
      assert.deepEqual(received(), [1, 1]);
    },
    {
      preferred: (socket) => {
        setTimeout(() => socket.destroy(), 200);
      },
    },
  ));

test('a request that waits for its placement is sent to another data centre', () =>
  withUpstreams(
    async (entry, received) => {
      const response = entry.send();
      await sleep(20);
      entry.view.updateEvacuations({ revision: 1, dataCentres: ['near'] });
      assert.equal((await response).status, 200);
      assert.deepEqual(received(), [0, 1]);
    },
    { placementMs: 100 },
  ));

test('with all upstreams in evacuated data centres, requests are refused at once', () =>
  withUpstreams(async (entry, received) => {
    entry.view.updateEvacuations({ revision: 1, dataCentres: ['near', 'far-1'] });
    const startedAt = performance.now();
    const response = await entry.send();
    assert.equal(response.status, 503);
    assert.ok(Number(response.headers['retry-after']) >= 1);
    assert.ok(performance.now() - startedAt < 500);
    assert.deepEqual(received(), [0, 0]);
  }));
