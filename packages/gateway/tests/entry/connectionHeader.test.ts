import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Route } from '../../src/configuration/index.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { ClientResponse } from './startEntry.js';

const STREAM: Partial<Route> = { kind: 'stream' };
const EVENTS = 'id: 1\ndata: x\n\n';
const EVENT_STREAM = 'content-type: text/event-stream';
/** Headers of the request that this process sets or must pass on as the client sent them. */
const REQUEST_HEADERS = 'customer, expected, deadline, attempt, model, host, content-length';
/** Node.js reads so many headers of a message by default. */
const DEFAULT_HEADER_COUNT = 1000;

const succeeding: Script = (socket, request) =>
  socket.write(formatResponse(request, '200 OK', 'fine'));

async function exchange(
  script: Script,
  headers: Record<string, string>,
  route: Partial<Route> = {},
): Promise<{ response: ClientResponse; request: Map<string, string>; text: string }> {
  const upstream = await ScriptedUpstream.start(script);
  const entry = await startEntry([upstream], { maxAttempts: 1, ...route });
  try {
    const response = await entry.send(headers);
    const [received] = upstream.received;
    return { response, request: received?.headers ?? new Map(), text: received?.text ?? '' };
  } finally {
    entry.stop();
  }
}

/** Writes names in upper and lower case by turns. */
function alternateCase(names: string): string {
  return names.replace(/\w+/g, (name, offset: number) =>
    offset % 2 === 0 ? name.toUpperCase() : name,
  );
}

// Guards against a run without its customer, instance or deadline because the client listed them.
test("a client's Connection header removes no header that the gateway sets", async () => {
  for (const listed of [REQUEST_HEADERS, alternateCase(REQUEST_HEADERS)]) {
    const { response, request, text } = await exchange(succeeding, {
      connection: `close, ${listed}, private`,
      customer: 'forged',
      model: 'm',
      private: '1',
    });
    assert.deepEqual([response.status, response.body], [200, 'fine']);
    assert.equal(request.get('customer'), 't');
    assert.equal(request.get('expected'), 'u0');
    assert.ok(Number(request.get('deadline')) > 0);
    assert.equal(request.get('attempt'), 'att-1');
    assert.equal(request.get('model'), 'm');
    assert.equal(request.get('host'), 'a.example');
    assert.equal(request.get('content-length'), '4');
    assert.equal(request.get('private'), undefined);
    assert.doesNotMatch(text, /forged/);
  }
});

// Guards against an answer without signature, and a body read as another type or length.
test("an upstream's Connection header removes no header that the client relies on", async () => {
  const listed = 'connection: keep-alive, Signed, attempt, Content-Type, content-length, private';
  for (const [route, body] of [
    [{}, 'fine'],
    [STREAM, EVENTS],
  ] as [Partial<Route>, string][]) {
    const script: Script = (socket, request) => {
      const headers = ['signed: yes', EVENT_STREAM, 'private: 1', listed];
      socket.write(formatResponse(request, '200 OK', body, headers));
    };
    const { response } = await exchange(script, {}, route);
    assert.deepEqual([response.status, response.body, response.isComplete], [200, body, true]);
    assert.equal(response.headers.signed, 'yes');
    assert.equal(response.headers.attempt, 'att-1');
    assert.equal(response.headers['content-type'], 'text/event-stream');
    assert.equal(response.headers.private, undefined);
  }
});

// Guards against an upstream that reads a limited number of headers and so misses the customer.
test('the headers that the gateway sets come before those of the client', async () => {
  const { text } = await exchange(succeeding, { first: '1' });
  for (const name of ['customer', 'expected', 'deadline'])
    assert.ok(text.indexOf(`\r\n${name}: `) < text.indexOf('\r\nfirst: '), name);
});

// Guards against headers that Node.js drops beyond its default number of them.
test('a header after a thousand others is neither lost in a request nor in a response', async () => {
  const filler = Array.from({ length: DEFAULT_HEADER_COUNT }, (_, index) => `f${index}`);
  const script: Script = (socket, request) => {
    const headers = [...filler.map((name) => `${name}: 1`), 'signed: yes'];
    socket.write(formatResponse(request, '200 OK', 'fine', headers));
  };
  const { response, request } = await exchange(script, {
    ...Object.fromEntries(filler.map((name) => [name, '1'])),
    model: 'm',
  });
  assert.deepEqual([response.status, response.body], [200, 'fine']);
  assert.equal(request.get('model'), 'm');
});
