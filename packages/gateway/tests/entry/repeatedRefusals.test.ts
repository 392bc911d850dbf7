import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Route } from '../../src/configuration/index.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { ClientResponse } from './startEntry.js';

const STREAM: Partial<Route> = { kind: 'stream', isResumable: false };
const EVENTS = 'id: 1\ndata: x\n\n';

const sound: Script = (socket, request) =>
  socket.write(formatResponse(request, '200 OK', EVENTS, ['signed: yes']));

/** Answers the first request, then writes a refusal of an earlier one before it answers. */
function repeatRefusal(refusal: string): Script {
  let count = 0;
  return (socket, request) => {
    count += 1;
    if (count === 1) sound(socket, request);
    else socket.write(refusal, () => setTimeout(() => sound(socket, request), 20));
  };
}

/** Sends two requests over one kept connection; gets the answer to the second. */
async function sendTwice(
  script: Script,
  route: Partial<Route>,
): Promise<{ response: ClientResponse; runs: number }> {
  const upstreams = [await ScriptedUpstream.start(script), await ScriptedUpstream.start(sound)];
  const entry = await startEntry(upstreams, route);
  try {
    await entry.send();
    const response = await entry.send({ attempt: 'att-2' });
    const received = upstreams.flatMap((upstream) => upstream.received);
    const runs = received.filter(({ headers }) => headers.get('attempt') === 'att-2').length;
    return { response, runs };
  } finally {
    entry.stop();
  }
}

// Guards against 'not run' for a request that is running, and against a second run of it.
test('a refusal without an attempt id on a kept connection proves nothing', async () => {
  for (const status of ['503 Busy', '421 Misdirected', '429 Many', '400 Bad']) {
    const refusal = `HTTP/1.1 ${status}\r\nunrun: 1\r\ncontent-length: 0\r\n\r\n`;
    const { response, runs } = await sendTwice(repeatRefusal(refusal), STREAM);
    assert.deepEqual([status, response.status, runs], [status, 502, 1]);
  }
});

test('a refusal of an earlier attempt proves nothing', async () => {
  const refusal = 'HTTP/1.1 503 Busy\r\nattempt: att-1\r\nunrun: 1\r\ncontent-length: 0\r\n\r\n';
  const { response, runs } = await sendTwice(repeatRefusal(refusal), STREAM);
  assert.deepEqual([response.status, runs], [502, 1]);
});

test('a request that may be repeated is retried after such a refusal', async () => {
  const refusal = 'HTTP/1.1 503 Busy\r\nunrun: 1\r\ncontent-length: 0\r\n\r\n';
  const { response, runs } = await sendTwice(repeatRefusal(refusal), {});
  assert.deepEqual([response.status, runs], [200, 2]);
});

test('a refusal without an attempt id on a new connection is believed', async () => {
  const refusal = 'HTTP/1.1 503 Busy\r\nunrun: 1\r\ncontent-length: 0\r\n\r\n';
  const upstreams = [
    await ScriptedUpstream.start((socket) => socket.write(refusal)),
    await ScriptedUpstream.start(sound),
  ];
  const entry = await startEntry(upstreams, STREAM);
  const response = await entry.send();
  entry.stop();
  assert.deepEqual([response.status, response.body], [200, EVENTS]);
});
