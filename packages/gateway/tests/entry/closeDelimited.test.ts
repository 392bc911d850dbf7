import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Socket } from 'node:net';
import type { Route } from '../../src/configuration/index.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { ClientResponse } from './startEntry.js';

type End = (socket: Socket) => void;

const STREAM_ROUTE: Partial<Route> = { kind: 'stream', isResumable: true };
const EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n';
const ALL_IDS = ['id: 1', 'id: 2', 'id: 3', 'id: 4'];

const endOrderly: End = (socket) => socket.end();
const reset: End = (socket) => setTimeout(() => socket.resetAndDestroy(), 50);
const resetAtOnce: End = (socket) => socket.resetAndDestroy();

/** Sends a response with neither length nor chunks, then ends the connection. */
function closeDelimited(body: string, end: End = endOrderly): Script {
  return (socket, request) => {
    const head = `HTTP/1.1 200 OK\r\nattempt: ${request.headers.get('attempt')}\r\nsigned: yes\r\n\r\n`;
    socket.write(`${head}${body}`, () => end(socket));
  };
}

const resuming: Script = (socket, request) =>
  socket.write(formatResponse(request, '200 OK', 'id: 3\ndata: x\n\nid: 4\ndata: x\n\n'));

async function sendTo(
  scripts: Script[],
  route: Partial<Route>,
): Promise<{ response: ClientResponse; upstreams: ScriptedUpstream[] }> {
  const upstreams = await Promise.all(scripts.map((script) => ScriptedUpstream.start(script)));
  const entry = await startEntry(upstreams, route);
  try {
    return { response: await entry.send(), upstreams };
  } finally {
    entry.stop();
  }
}

async function assertResumed(script: Script): Promise<void> {
  const { response, upstreams } = await sendTo([script, resuming], STREAM_ROUTE);
  assert.equal(upstreams[1]?.received[0]?.headers.get('last'), '2');
  assert.deepEqual(response.body.match(/id: \d+/g), ALL_IDS);
  assert.equal(response.isComplete, true);
}

test('a close-delimited response is relayed whole', async () => {
  const { response, upstreams } = await sendTo([closeDelimited('fine'), resuming], {});
  assert.deepEqual([response.status, response.body, response.isComplete], [200, 'fine', true]);
  assert.equal(upstreams[1]?.received.length, 0);
});

test('a close-delimited response that is reset is retried', async () => {
  for (const end of [reset, resetAtOnce]) {
    const whole = closeDelimited('fine');
    const { response } = await sendTo([closeDelimited('fi', end), whole], {});
    assert.deepEqual([response.status, response.body], [200, 'fine']);
  }
});

test('a close-delimited stream that ends after an event is complete', async () => {
  const { response, upstreams } = await sendTo([closeDelimited(EVENTS), resuming], STREAM_ROUTE);
  assert.deepEqual([response.body, response.isComplete], [EVENTS, true]);
  assert.equal(upstreams[1]?.received.length, 0);
});

test('a close-delimited stream that ends inside an event is resumed', async () => {
  for (const piece of ['i', 'id: 3', 'id: 3\ndata: x\n', 'data: x\n', ': comment'])
    await assertResumed(closeDelimited(`${EVENTS}${piece}`));
});

test('a close-delimited stream that is reset after an event is resumed', async () => {
  await assertResumed(closeDelimited(EVENTS, reset));
});

test('a close-delimited stream that ends inside its first event is sent again from the start', async () => {
  const whole = closeDelimited(EVENTS);
  const { response, upstreams } = await sendTo([closeDelimited('id: 1\nda'), whole], STREAM_ROUTE);
  assert.equal(upstreams[1]?.received[0]?.headers.get('last'), undefined);
  assert.deepEqual([response.status, response.body], [200, EVENTS]);
});

// Guards against a complete answer without events from an upstream that ended after its head.
test('a close-delimited stream without any event is broken off', async () => {
  const { response } = await sendTo([closeDelimited(''), closeDelimited(EVENTS)], STREAM_ROUTE);
  assert.deepEqual([response.status, response.body], [200, EVENTS]);
});

test('a close-delimited stream that ends inside an event and is not resumable looks cut', async () => {
  const route: Partial<Route> = { kind: 'stream', isResumable: false };
  const { response, upstreams } = await sendTo([closeDelimited(`${EVENTS}id: 3`), resuming], route);
  assert.deepEqual([response.body, response.isComplete], [EVENTS, false]);
  assert.equal(upstreams[1]?.received.length, 0);
});
