import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { TestEntry } from './startEntry.js';

type Answer = [status: string, headers: string[]];

const SOUND: Answer = ['200 OK', ['signed: yes']];
const PAUSE: Answer = ['503 Busy', ['unrun: 1', 'pause: 400']];

/** Answers one request after the other, then goes on with the last response. */
function respond(...answers: Answer[]): Script {
  let count = 0;
  return (socket, request) => {
    const [status, headers] = answers[Math.min(count, answers.length - 1)] ?? SOUND;
    count += 1;
    socket.write(formatResponse(request, status, 'x', headers));
  };
}

async function withUpstreams(
  scripts: Script[],
  run: (entry: TestEntry, upstreams: ScriptedUpstream[]) => Promise<void>,
): Promise<void> {
  const upstreams = await Promise.all(scripts.map((script) => ScriptedUpstream.start(script)));
  const entry = await startEntry(upstreams);
  try {
    await run(entry, upstreams);
  } finally {
    entry.stop();
  }
}

// Guards against requests to an upstream that has asked this process to leave it alone.
test('an upstream that asks for a pause gets nothing until it ends', () =>
  withUpstreams([respond(PAUSE, SOUND), respond(SOUND)], async (entry, upstreams) => {
    for (let count = 0; count < 5; count += 1) assert.equal((await entry.send()).status, 200);
    assert.equal(upstreams[0]?.received.length, 1);
    await sleep(450);
    await entry.send();
    assert.equal(upstreams[0]?.received.length, 2);
  }));

test('a 503 of a request that may have run asks for a pause as well', () =>
  withUpstreams(
    [respond(['503 Busy', ['pause: 60000']]), respond(SOUND)],
    async (entry, upstreams) => {
      for (let count = 0; count < 4; count += 1) await entry.send();
      assert.equal(upstreams[0]?.received.length, 1);
    },
  ));

test('other statuses and a 503 without a time ask for nothing', () =>
  withUpstreams(
    [respond(['500 No', ['signed: yes', 'pause: 60000']]), respond(SOUND)],
    async (entry, upstreams) => {
      await entry.send();
      assert.equal(entry.view.upstreamTable.getReady('s').length, 2);
      await sleep(600);
      assert.equal(upstreams[0]?.received.length, 1);
    },
  ));

// Guards against a request that waits until its deadline for an upstream that wants none.
test('a request that only a paused upstream could serve is refused at once with the time', () =>
  withUpstreams([respond(PAUSE)], async (entry) => {
    assert.equal((await entry.send()).status, 503);
    const startedAt = performance.now();
    const { status, headers } = await entry.send();
    assert.equal(status, 503);
    assert.ok(performance.now() - startedAt < 100);
    const seconds = Number(headers['retry-after']);
    assert.ok(seconds > 0.1 && seconds <= 0.4, String(seconds));
  }));

// Guards against all callers coming back the moment that a pause ends.
test('after a pause one request goes first', () =>
  withUpstreams([respond(PAUSE, ['503 Busy', ['unrun: 1']])], async (entry, upstreams) => {
    await entry.send();
    await sleep(450);
    const ids = ['a', 'b', 'c', 'd', 'e'];
    await Promise.all(ids.map((attempt) => entry.send({ attempt })));
    assert.equal(upstreams[0]?.received.length, 2);
  }));
