import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';

const succeeding: Script = (socket, request) =>
  socket.write(formatResponse(request, '200 OK', 'fine'));
const failing: Script = (socket, request) => socket.write(formatResponse(request, '500 No', 'bad'));
const resetting: Script = (socket) => socket.resetAndDestroy();
const shedding: Script = (socket, request) =>
  socket.write(formatResponse(request, '503 Busy', '', ['unrun: 1']));
const STREAM_HEAD = ['signed: yes', 'content-type: text/event-stream'];

function start(...scripts: Script[]): Promise<ScriptedUpstream[]> {
  return Promise.all(scripts.map((script) => ScriptedUpstream.start(script)));
}

/** Writes events, then completes the response, resets the connection or sends nothing more. */
function writeEvents(ids: number[], end: 'complete' | 'reset' | 'silent'): Script {
  return (socket, request) => {
    const body = ids.map((id) => `id: ${id}\ndata: x\n\n`).join('');
    if (end === 'complete') socket.write(formatResponse(request, '200 OK', body, STREAM_HEAD));
    else {
      const full = formatResponse(request, '200 OK', `${body}id: 99\nda`.padEnd(999), STREAM_HEAD);
      socket.write(full.slice(0, full.indexOf('id: 99') + 9));
      if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), 50);
    }
  };
}

test('a response is relayed to the client, and the API key is not sent to the upstream', async () => {
  const upstreams = await start(succeeding);
  const entry = await startEntry(upstreams);
  const response = await entry.send();
  entry.stop();
  assert.deepEqual([response.status, response.body, response.headers.signed], [200, 'fine', 'yes']);
  const request = upstreams[0]?.received[0];
  assert.ok(request?.text.startsWith('POST /p/x?q=1 '));
  assert.ok(request?.text.endsWith('body'));
  assert.equal(request?.headers.get('key'), undefined);
  assert.equal(request?.headers.get('customer'), 't');
  assert.ok(Number(request?.headers.get('deadline')) <= 1000);
});

test('an unknown API key is rejected with 401', async () => {
  const upstreams = await start(succeeding);
  const entry = await startEntry(upstreams);
  const response = await entry.send({ key: 'stolen' });
  entry.stop();
  assert.equal(response.status, 401);
  assert.equal(upstreams[0]?.received.length, 0);
});

test('a failed idempotent request is retried on another upstream', async () => {
  const upstreams = await start(failing, succeeding);
  const entry = await startEntry(upstreams);
  assert.equal((await entry.send()).status, 200);
  entry.stop();
});

test('the error response of the last attempt is relayed unchanged', async () => {
  const upstreams = await start(failing, failing, succeeding);
  const entry = await startEntry(upstreams);
  const response = await entry.send();
  entry.stop();
  assert.deepEqual([response.status, response.body, response.headers.signed], [500, 'bad', 'yes']);
  assert.equal(upstreams[2]?.received.length, 0);
});

test('a non-idempotent request whose outcome is unknown is not retried', async () => {
  const upstreams = await start(resetting, succeeding);
  const entry = await startEntry(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  assert.equal((await entry.send()).status, 502);
  entry.stop();
  assert.equal(upstreams[1]?.received.length, 0);
});

test('a non-idempotent request that was not executed is retried', async () => {
  const upstreams = await start(shedding, succeeding);
  const entry = await startEntry(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  assert.equal((await entry.send()).status, 200);
  entry.stop();
});

test('a request that no upstream executed is answered with 503 and retry-after', async () => {
  const upstreams = await start(shedding, shedding);
  const entry = await startEntry(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  const response = await entry.send();
  entry.stop();
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers['retry-after']) > 0);
  assert.equal(response.headers.signed, undefined);
});

test('a 503 that does not state that the request was not executed is answered with 502', async () => {
  const upstreams = await start((socket, request) => {
    socket.write(formatResponse(request, '503 Busy', ''));
  });
  const entry = await startEntry(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  assert.equal((await entry.send()).status, 502);
  entry.stop();
});

test('a response to another request is not relayed', async () => {
  const foreign: Script = (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nattempt: other\r\nsigned: yes\r\ncontent-length: 1\r\n\r\nx');
  };
  const upstreams = await start(foreign, succeeding);
  const entry = await startEntry(upstreams);
  assert.equal((await entry.send()).body, 'fine');
  entry.stop();
});

test('a successful response without a signature is not relayed', async () => {
  const unsigned: Script = (socket, request) =>
    socket.write(formatResponse(request, '200 OK', 'fake', []));
  const upstreams = await start(unsigned);
  const entry = await startEntry(upstreams, { maxAttempts: 1 });
  assert.equal((await entry.send()).status, 502);
  entry.stop();
});

test('bytes that follow a response are not taken for the next one', async () => {
  const chatty: Script = (socket, request) => {
    socket.write(formatResponse(request, '200 OK', 'first'));
    setTimeout(() => socket.write(formatResponse(request, '200 OK', 'second')), 20);
  };
  const entry = await startEntry(await start(chatty));
  assert.equal((await entry.send()).body, 'first');
  await sleep(60);
  assert.equal((await entry.send()).body, 'first');
  entry.stop();
});

test('a request is answered with 504 at its timeout', async () => {
  const entry = await startEntry(await start(() => undefined), { timeoutMs: 150 });
  const startedAt = performance.now();
  assert.equal((await entry.send()).status, 504);
  assert.ok(performance.now() - startedAt < 600);
  entry.stop();
});

// Guards against requests that outlast their deadline, or the exit, while an engine is silent.
test('a request whose helper does not grant memory is answered at its timeout', async () => {
  const upstreams = await start(succeeding, () => undefined);
  const entry = await startEntry(upstreams, { timeoutMs: 100 }, { heldTokens: 1000 });
  const startedAt = performance.now();
  const { status } = await entry.send();
  const elapsedMs = performance.now() - startedAt;
  entry.stop();
  assert.equal(status, 503);
  assert.ok(elapsedMs < 350);
});

test('the request to the upstream is aborted when the client disconnects', async () => {
  let onReceived = (): void => undefined;
  const received = new Promise<void>((resolve) => {
    onReceived = resolve;
  });
  const upstreams = await start(() => onReceived());
  const entry = await startEntry(upstreams, { timeoutMs: 5000 });
  await assert.rejects(entry.send({}, { disconnectOn: received }));
  await sleep(200);
  entry.stop();
  assert.equal(upstreams[0]?.closed, 1);
});

test('a stream is resumed after its last complete event', async () => {
  const upstreams = await start(writeEvents([1, 2], 'reset'), writeEvents([3, 4], 'complete'));
  const entry = await startEntry(upstreams, { kind: 'stream', isResumable: true });
  const response = await entry.send();
  entry.stop();
  assert.equal(upstreams[1]?.received[0]?.headers.get('last'), '2');
  assert.deepEqual(response.body.match(/id: \d+/g), ['id: 1', 'id: 2', 'id: 3', 'id: 4']);
});

test('a stream whose upstream stalls is resumed on another one', async () => {
  const upstreams = await start(writeEvents([1, 2], 'silent'), writeEvents([3, 4], 'complete'));
  const entry = await startEntry(upstreams, {
    kind: 'stream',
    isResumable: true,
    timeoutMs: 5000,
  });
  const response = await entry.send({ deadline: '5000' });
  entry.stop();
  assert.deepEqual(response.body.match(/id: \d+/g), ['id: 1', 'id: 2', 'id: 3', 'id: 4']);
});

test('a request whose upstream does not respond is retried on another one before its timeout', async () => {
  const entry = await startEntry(await start(() => undefined, succeeding), { objectiveMs: 150 });
  const startedAt = performance.now();
  assert.equal((await entry.send()).body, 'fine');
  entry.stop();
  assert.ok(performance.now() - startedAt < 900);
});

test('a non-idempotent request is not retried when its upstream does not respond', async () => {
  const upstreams = await start(() => undefined, succeeding);
  const entry = await startEntry(upstreams, { kind: 'nonIdempotent', maxAttempts: 2 });
  assert.equal((await entry.send()).status, 504);
  entry.stop();
  assert.equal(upstreams[1]?.received.length, 0);
});

test('a slow attempt is not aborted while the retry budget is exhausted', async () => {
  const slow: Script = (socket, request) => {
    setTimeout(() => socket.write(formatResponse(request, '200 OK', 'slow')), 600);
  };
  const upstreams = await start(slow, slow);
  const entry = await startEntry(upstreams, {}, { ratio: 0, extra: 0 });
  // This request uses up the one retry that is always granted, so it is received twice.
  await entry.send();
  const { body } = await entry.send();
  entry.stop();
  assert.equal(body, 'slow');
  assert.equal(upstreams.flatMap(({ received }) => received).length, 3);
});

test('a broken stream that is not resumable ends as incomplete for the client', async () => {
  const upstreams = await start(writeEvents([1, 2], 'reset'), writeEvents([3, 4], 'complete'));
  const entry = await startEntry(upstreams, { kind: 'stream', isResumable: false });
  const response = await entry.send();
  entry.stop();
  assert.equal(response.isComplete, false);
  assert.equal(upstreams[1]?.received.length, 0);
});

test('a request without a matching route is answered with 404', async () => {
  const entry = await startEntry(await start(succeeding), { host: 'other.example' });
  assert.equal((await entry.send()).status, 404);
  entry.stop();
});
