import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Route } from '../../src/configuration/index.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { ClientResponse, TestEntryOptions } from './startEntry.js';

const STREAM: Partial<Route> = { kind: 'stream', isResumable: true, timeoutMs: 9000 };
const EVENT_COUNT = 4;
/** Longer than the time after which a stream of the test route counts as stalled (1000 ms). */
const PAUSE_MS = 1500;
const STREAM_HEAD = ['signed: yes', 'content-type: text/event-stream'];

const succeeding: Script = (socket, request) =>
  socket.write(formatResponse(request, '200 OK', 'fine'));

function formatEvent(id: number): string {
  return `id: ${id}\ndata: x\n\n`;
}

/** Sends a whole stream with a time before each event. */
function stream(getDelayMs: (event: number) => number): Script {
  return async (socket, request) => {
    const first = Number(request.headers.get('last') ?? 0) + 1;
    const body = Array.from({ length: EVENT_COUNT - first + 1 }, (_, index) =>
      formatEvent(first + index),
    ).join('');
    const whole = formatResponse(request, '200 OK', body, STREAM_HEAD);
    socket.write(whole.slice(0, whole.length - body.length));
    for (let event = first; event <= EVENT_COUNT; event += 1) {
      await sleep(getDelayMs(event));
      if (socket.destroyed) return;
      socket.write(formatEvent(event));
    }
  };
}

const pausing = stream((event) => (event === 3 ? PAUSE_MS : 20));
const flowing = stream(() => 20);
const slowToBegin = stream((event) => (event === 1 ? PAUSE_MS : 20));

/** Answers commands to an engine by a status, and other requests by a script. */
function withCommands(getStatus: (kind: string) => string | undefined, script: Script): Script {
  return (socket, request) => {
    if (!request.text.startsWith('POST /command')) {
      script(socket, request);
      return;
    }
    const { kind } = JSON.parse(request.text.split('\r\n\r\n')[1] ?? '{}') as { kind: string };
    const status = getStatus(kind);
    if (status === undefined) socket.resetAndDestroy();
    else socket.write(formatResponse(request, status, '{}'));
  };
}

async function sendTo(
  scripts: Script[],
  route: Partial<Route> = {},
  options: TestEntryOptions = {},
): Promise<{ response: ClientResponse; upstreams: ScriptedUpstream[] }> {
  const upstreams = await Promise.all(scripts.map((script) => ScriptedUpstream.start(script)));
  const entry = await startEntry(upstreams, { ...STREAM, ...route }, options);
  try {
    return { response: await entry.send({ deadline: '9000' }), upstreams };
  } finally {
    entry.stop();
  }
}

function assertWhole({ status, body, isComplete }: ClientResponse): void {
  assert.deepEqual([status, isComplete], [200, true]);
  assert.deepEqual(
    body.match(/id: \d+/g),
    Array.from({ length: EVENT_COUNT }, (_, index) => `id: ${index + 1}`),
  );
}

// Guards against a stream that is cut in a pause of its upstream although no other one can go on.
test('a stream whose only upstream pauses is relayed whole', async () => {
  const { response, upstreams } = await sendTo([pausing]);
  assertWhole(response);
  assert.equal(upstreams[0]?.received.length, 1);
});

// Guards against an answer of 502 to a stream whose first event takes longer than expected.
test('a stream whose only upstream is slow to begin is relayed whole', async () => {
  const { response } = await sendTo([slowToBegin]);
  assertWhole(response);
});

// Guards against an answer of 502 at twice the objective while the upstream is at work.
test('an idempotent request whose only upstream is slow is answered', async () => {
  const slow: Script = (socket, request) => {
    setTimeout(() => succeeding(socket, request), 700);
  };
  const { response } = await sendTo([slow], { kind: 'idempotent', objectiveMs: 100 });
  assert.deepEqual([response.status, response.body], [200, 'fine']);
});

test('a stream whose upstream pauses goes on at another one that is free', async () => {
  const { response, upstreams } = await sendTo([pausing, flowing]);
  assertWhole(response);
  assert.equal(upstreams[1]?.received[0]?.headers.get('last'), '2');
});

// Guards against a stream that is cut for an upstream which then does not accept it.
test('a stream in a pause is kept while the other upstream wants no requests', async () => {
  let refusals = 0;
  const refusingFirst: Script = (socket, request) => {
    refusals += 1;
    socket.write(formatResponse(request, '503 Busy', '', ['unrun: 1', 'pause: 60000']));
  };
  const { response, upstreams } = await sendTo([refusingFirst, pausing]);
  assertWhole(response);
  assert.equal(refusals, 1);
  assert.equal(upstreams[1]?.received.length, 1);
});

// Guards against a prompt that is cut before the memory for its next attempt is reserved.
test('a stream in a pause is kept if a helper has no memory for its next attempt', async () => {
  let reservations = 0;
  const helping = withCommands((kind) => {
    if (kind !== 'reserve') return '200 OK';
    reservations += 1;
    return reservations === 1 ? '200 OK' : '409 Conflict';
  }, flowing);
  const engine = withCommands(() => '200 OK', pausing);
  const { response, upstreams } = await sendTo([engine, helping], {}, { heldTokens: 1000 });
  assertWhole(response);
  assert.ok(reservations >= 2);
  assert.ok(upstreams[1]?.received.every(({ text }) => text.startsWith('POST /command')));
});

// Guards against a flowing stream that is cut because reports on other connections fail.
test('a flowing stream is not cut while its engine resets new connections', async () => {
  const engine = withCommands(
    () => undefined,
    stream(() => 900),
  );
  const helper = withCommands(() => '200 OK', flowing);
  const route = { isResumable: false };
  const { response, upstreams } = await sendTo([engine, helper], route, { heldTokens: 1000 });
  assertWhole(response);
  assert.ok((upstreams[0]?.received.length ?? 0) > 3);
});

// Guards against a prompt that is given up before its first event, as its engine is at its limit of
// connections.
test('a prompt that is read is not cut while its engine resets new connections', async () => {
  const engine = withCommands(
    () => undefined,
    stream((event) => (event === 1 ? 3500 : 20)),
  );
  const helper = withCommands(() => '200 OK', flowing);
  const route = { isResumable: false, objectiveMs: 2000 };
  const { response } = await sendTo([engine, helper], route, { heldTokens: 1000 });
  assertWhole(response);
});

// Guards against memory that is held for an engine which has gone without closing its connection.
test('a prompt whose engine falls silent is given up, so that its helpers are free again', async () => {
  const commands: string[] = [];
  const helper = withCommands((kind) => {
    commands.push(kind);
    return '200 OK';
  }, flowing);
  const upstreams = await Promise.all(
    [() => undefined, helper].map((script) => ScriptedUpstream.start(script)),
  );
  const entry = await startEntry(
    upstreams,
    { ...STREAM, isResumable: false },
    { heldTokens: 1000 },
  );
  try {
    const startedAt = performance.now();
    assert.equal((await entry.send({ deadline: '9000' })).status, 502);
    await sleep(200);
    assert.ok(commands.includes('release'));
    // Engines must be free again within 4 s.
    assert.ok(performance.now() - startedAt < 4000);
  } finally {
    entry.stop();
  }
});
