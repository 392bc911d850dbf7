import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { answer, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startFront } from './startFront.js';

const good: Script = (socket, request) => socket.write(answer(request, '200 OK', 'fine'));
const failing: Script = (socket, request) => socket.write(answer(request, '500 No', 'bad'));
const resetting: Script = (socket) => socket.resetAndDestroy();
const shedding: Script = (socket, request) =>
  socket.write(answer(request, '503 Busy', '', ['unrun: 1']));
const STREAM_HEAD = ['signed: yes', 'content-type: text/event-stream'];

function start(...scripts: Script[]): Promise<ScriptedUpstream[]> {
  return Promise.all(scripts.map((script) => ScriptedUpstream.start(script)));
}

/** Writes events, then ends the answer in order, resets the connection or falls silent. */
function events(ids: number[], end: 'whole' | 'reset' | 'silent'): Script {
  return (socket, request) => {
    const body = ids.map((id) => `id: ${id}\ndata: x\n\n`).join('');
    if (end === 'whole') socket.write(answer(request, '200 OK', body, STREAM_HEAD));
    else {
      const whole = answer(request, '200 OK', `${body}id: 99\nda`.padEnd(999), STREAM_HEAD);
      socket.write(whole.slice(0, whole.indexOf('id: 99') + 9));
      if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), 50);
    }
  };
}

test('an answer is passed on, the key is not', async () => {
  const upstreams = await start(good);
  const front = await startFront(upstreams);
  const seen = await front.send();
  front.stop();
  assert.deepEqual([seen.status, seen.body, seen.headers.signed], [200, 'fine', 'yes']);
  const request = upstreams[0]?.received[0];
  assert.ok(request?.text.startsWith('POST /p/x?q=1 '));
  assert.ok(request?.text.endsWith('body'));
  assert.equal(request?.headers.get('key'), undefined);
  assert.equal(request?.headers.get('customer'), 't');
  assert.ok(Number(request?.headers.get('deadline')) <= 1000);
});

test('an unknown key is refused', async () => {
  const upstreams = await start(good);
  const front = await startFront(upstreams);
  const seen = await front.send({ key: 'stolen' });
  front.stop();
  assert.equal(seen.status, 401);
  assert.equal(upstreams[0]?.received.length, 0);
});

test('an idempotent request that failed is sent to another upstream', async () => {
  const upstreams = await start(failing, good);
  const front = await startFront(upstreams);
  assert.equal((await front.send()).status, 200);
  front.stop();
});

test('the last failure of an upstream is passed on unchanged', async () => {
  const upstreams = await start(failing, failing, good);
  const front = await startFront(upstreams);
  const seen = await front.send();
  front.stop();
  assert.deepEqual([seen.status, seen.body, seen.headers.signed], [500, 'bad', 'yes']);
  assert.equal(upstreams[2]?.received.length, 0);
});

test('a request that may not be repeated runs once and ends in doubt', async () => {
  const upstreams = await start(resetting, good);
  const front = await startFront(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  assert.equal((await front.send()).status, 502);
  front.stop();
  assert.equal(upstreams[1]?.received.length, 0);
});

test('a request that certainly did not run is sent on', async () => {
  const upstreams = await start(shedding, good);
  const front = await startFront(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  assert.equal((await front.send()).status, 200);
  front.stop();
});

test('a request that ran nowhere is refused with the time to come back', async () => {
  const upstreams = await start(shedding, shedding);
  const front = await startFront(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  const seen = await front.send();
  front.stop();
  assert.equal(seen.status, 503);
  assert.ok(Number(seen.headers['retry-after']) > 0);
  assert.equal(seen.headers.signed, undefined);
});

test('a 503 without the word that it did not run promises nothing', async () => {
  const upstreams = await start((socket, request) => {
    socket.write(answer(request, '503 Busy', ''));
  });
  const front = await startFront(upstreams, { kind: 'nonIdempotent', maxAttempts: 1 });
  assert.equal((await front.send()).status, 502);
  front.stop();
});

test('an answer to another request is not passed on', async () => {
  const foreign: Script = (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nattempt: other\r\nsigned: yes\r\ncontent-length: 1\r\n\r\nx');
  };
  const upstreams = await start(foreign, good);
  const front = await startFront(upstreams);
  assert.equal((await front.send()).body, 'fine');
  front.stop();
});

test('a success without a signature is not passed on', async () => {
  const unsigned: Script = (socket, request) => socket.write(answer(request, '200 OK', 'fake', []));
  const upstreams = await start(unsigned);
  const front = await startFront(upstreams, { maxAttempts: 1 });
  assert.equal((await front.send()).status, 502);
  front.stop();
});

test('bytes after an answer reach nobody', async () => {
  const chatty: Script = (socket, request) => {
    socket.write(answer(request, '200 OK', 'first'));
    setTimeout(() => socket.write(answer(request, '200 OK', 'second')), 20);
  };
  const front = await startFront(await start(chatty));
  assert.equal((await front.send()).body, 'first');
  await sleep(60);
  assert.equal((await front.send()).body, 'first');
  front.stop();
});

test('at its timeout a request gets its final answer', async () => {
  const front = await startFront(await start(() => undefined), { timeoutMs: 150 });
  const startedAt = performance.now();
  assert.equal((await front.send()).status, 504);
  assert.ok(performance.now() - startedAt < 600);
  front.stop();
});

test('a client that leaves ends the work at the upstream', async () => {
  const upstreams = await start(() => undefined);
  const front = await startFront(upstreams, { timeoutMs: 5000 });
  await assert.rejects(front.send({}, { leaveAfterMs: 80 }));
  await sleep(200);
  front.stop();
  assert.equal(upstreams[0]?.closed, 1);
});

test('a stream is resumed after its last whole event', async () => {
  const upstreams = await start(events([1, 2], 'reset'), events([3, 4], 'whole'));
  const front = await startFront(upstreams, { kind: 'stream', isResumable: true });
  const seen = await front.send();
  front.stop();
  assert.equal(upstreams[1]?.received[0]?.headers.get('last'), '2');
  assert.deepEqual(seen.body.match(/id: \d+/g), ['id: 1', 'id: 2', 'id: 3', 'id: 4']);
});

test('a stream whose upstream falls silent goes on at another one', async () => {
  const upstreams = await start(events([1, 2], 'silent'), events([3, 4], 'whole'));
  const front = await startFront(upstreams, {
    kind: 'stream',
    isResumable: true,
    timeoutMs: 5000,
  });
  const seen = await front.send({ deadline: '5000' });
  front.stop();
  assert.deepEqual(seen.body.match(/id: \d+/g), ['id: 1', 'id: 2', 'id: 3', 'id: 4']);
});

test('a request whose upstream is silent goes to another one in time', async () => {
  const front = await startFront(await start(() => undefined, good), { objectiveMs: 150 });
  const startedAt = performance.now();
  assert.equal((await front.send()).body, 'fine');
  front.stop();
  assert.ok(performance.now() - startedAt < 900);
});

test('a silent upstream keeps a request that may not be repeated', async () => {
  const upstreams = await start(() => undefined, good);
  const front = await startFront(upstreams, { kind: 'nonIdempotent', maxAttempts: 2 });
  assert.equal((await front.send()).status, 504);
  front.stop();
  assert.equal(upstreams[1]?.received.length, 0);
});

test('nothing is given up while the budget has no retry', async () => {
  const slow: Script = (socket, request) => {
    setTimeout(() => socket.write(answer(request, '200 OK', 'slow')), 600);
  };
  const upstreams = await start(slow, slow);
  const front = await startFront(upstreams, {}, { ratio: 0, extra: 0 });
  await front.send();
  const { body } = await front.send();
  front.stop();
  assert.equal(body, 'slow');
  assert.equal(upstreams.flatMap(({ received }) => received).length, 3);
});

test('a stream that may not be resumed looks cut when it is', async () => {
  const upstreams = await start(events([1, 2], 'reset'), events([3, 4], 'whole'));
  const front = await startFront(upstreams, { kind: 'stream', isResumable: false });
  const seen = await front.send();
  front.stop();
  assert.equal(seen.isWhole, false);
  assert.equal(upstreams[1]?.received.length, 0);
});

test('a request of no route gets 404', async () => {
  const front = await startFront(await start(good), { host: 'other.example' });
  assert.equal((await front.send()).status, 404);
  front.stop();
});
