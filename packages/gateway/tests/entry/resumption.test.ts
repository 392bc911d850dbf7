import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Route } from '../../src/configuration/index.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { ClientResponse } from './startEntry.js';

const STREAM: Partial<Route> = { kind: 'stream', isResumable: true };
const EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n';
const EVENT_STREAM = ['signed: yes', 'content-type: text/event-stream'];

/** Begins a stream and resets the connection after two of its events. */
const breakingOff: Script = (socket, request) => {
  const head = formatResponse(request, '200 OK', '', [...EVENT_STREAM, 'content-length: 90']);
  socket.write(head.replace('content-length: 0\r\n', '') + EVENTS);
  setTimeout(() => socket.resetAndDestroy(), 50);
};

function respond(status: string, body: string, headers: string[] = EVENT_STREAM): Script {
  return (socket, request) => socket.write(formatResponse(request, status, body, headers));
}

async function resumeAt(script: Script): Promise<ClientResponse> {
  const upstreams = [
    await ScriptedUpstream.start(breakingOff),
    await ScriptedUpstream.start(script),
  ];
  const entry = await startEntry(upstreams, STREAM);
  try {
    return await entry.send();
  } finally {
    entry.stop();
  }
}

// Guards against the head or the text of an error in the middle of a stream.
test('a stream that another upstream answers with an error looks cut', async () => {
  const error = '{"error":"overloaded"}\n\n';
  const json = ['signed: yes', 'content-type: application/json'];
  for (const status of ['500 No', '503 Busy', '404 None', '302 Found', '200 OK', '204 Empty'])
    for (const headers of [json, ['signed: yes'], ['content-type: text/html']]) {
      const response = await resumeAt(
        respond(status, status === '204 Empty' ? '' : error, headers),
      );
      const seen = [status, headers, response.body, response.isComplete];
      assert.deepEqual(seen, [status, headers, EVENTS, false]);
    }
});

test('an error without length in the middle of a stream looks cut', async () => {
  const response = await resumeAt((socket, request) => {
    const lines = ['HTTP/1.1 200 OK', `attempt: ${request.headers.get('attempt')}`, 'signed: yes'];
    socket.end(`${lines.join('\r\n')}\r\n\r\n{"error":"overloaded"}\n\n`);
  });
  assert.deepEqual([response.body, response.isComplete], [EVENTS, false]);
});

// Guards against a stream that ends as complete because the next upstream ended after its head.
test('a resumed stream that ends with its connection and without an event looks cut', async () => {
  const response = await resumeAt((socket, request) => {
    const lines = ['HTTP/1.1 200 OK', `attempt: ${request.headers.get('attempt')}`];
    socket.end(`${[...lines, ...EVENT_STREAM].join('\r\n')}\r\n\r\n`);
  });
  assert.deepEqual([response.body, response.isComplete], [EVENTS, false]);
});

// Guards against bytes beyond the length that the first upstream stated for the whole stream.
test('a resumed stream is not bound by the length of the first answer', async () => {
  const rest = `id: 3\ndata: ${'x'.repeat(100)}\n\n`;
  const response = await resumeAt(respond('200 OK', rest));
  assert.deepEqual([response.body, response.isComplete], [`${EVENTS}${rest}`, true]);
});

test('a stream that broke off after its last event is completed by an empty answer', async () => {
  const response = await resumeAt(respond('200 OK', ''));
  assert.deepEqual([response.body, response.isComplete], [EVENTS, true]);
});
