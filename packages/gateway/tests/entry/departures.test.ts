import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { TestEntry } from './startEntry.js';

function respond(status: string, headers: string[]): Script {
  return (socket, request) => socket.write(formatResponse(request, status, 'x', headers));
}

const sound = respond('200 OK', ['signed: yes']);

/** Runs a test with an upstream that is preferred and a sound one. */
async function withUpstreams(
  preferred: Script,
  run: (entry: TestEntry, received: () => number[]) => Promise<void>,
): Promise<void> {
  const upstreams = [await ScriptedUpstream.start(preferred), await ScriptedUpstream.start(sound)];
  const entry = await startEntry(upstreams);
  try {
    await run(entry, () => upstreams.map(({ received }) => received.length));
  } finally {
    entry.stop();
  }
}

// Guards against requests to an upstream that has said in a response that it leaves.
test('an upstream that says that it leaves gets nothing more, whatever the status', async () => {
  const refusal = ['unrun: 1', 'leaving: 1'];
  for (const script of [
    respond('200 OK', ['signed: yes', 'leaving: 1']),
    respond('500 No', ['signed: yes', 'leaving: 1']),
    respond('503 Busy', refusal),
  ])
    await withUpstreams(script, async (entry, received) => {
      for (let count = 0; count < 4; count += 1) assert.notEqual((await entry.send()).status, 503);
      assert.equal(received()[0], 1);
    });
});

test('later announcements of the same incarnation do not bring a leaving upstream back', async () => {
  const leaving = respond('200 OK', ['signed: yes', 'leaving: 1']);
  await withUpstreams(leaving, async (entry, received) => {
    await entry.send();
    const { lastSeenAt, ...record } = entry.view.upstreamTable.getUpstream('u0') ?? assert.fail();
    entry.view.mergeUpstreams({
      records: [{ ...record, state: 'ready', sequence: 99, ageMs: 0 }],
    });
    await entry.send();
    assert.deepEqual(received(), [1, 1]);
    assert.ok(lastSeenAt > 0);
    entry.view.mergeUpstreams({ records: [{ ...record, state: 'ready', bornAt: 2, ageMs: 0 }] });
    await entry.send();
    assert.deepEqual(received(), [2, 1]);
  });
});

test('a departure is told to others once', async () => {
  const leaving = respond('200 OK', ['signed: yes', 'leaving: 1']);
  await withUpstreams(leaving, async (entry) => {
    const told: string[] = [];
    entry.view.departures.subscribe(({ id, state }) => told.push(`${id} ${state}`));
    await Promise.all([entry.send(), entry.send({ attempt: 'att-2' })]);
    assert.deepEqual(told, ['u0 draining']);
  });
});

// Guards against a departure of the upstream that had the address before.
test('a response of another upstream at the address says nothing of the one expected', async () => {
  const script = respond('421 Misdirected', ['leaving: 1', 'pause: 5000']);
  await withUpstreams(script, async (entry) => {
    await entry.send();
    assert.equal(entry.view.upstreamTable.getUpstream('u0')?.state, 'ready');
  });
});

test('a response to another request says nothing of the upstream', async () => {
  const script: Script = (socket) =>
    socket.write('HTTP/1.1 200 OK\r\nattempt: other\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n');
  await withUpstreams(script, async (entry) => {
    await entry.send();
    assert.equal(entry.view.upstreamTable.getUpstream('u0')?.state, 'ready');
  });
});
