import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Route } from '../../src/configuration/index.js';
import { ScriptedUpstream } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { ClientResponse } from './startEntry.js';

type Framing = 'length' | 'chunks' | 'closing';

const EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n';
const BODY = 'the whole body';
const STREAM: Partial<Route> = { kind: 'stream', isResumable: false };
const ATTEMPT = 'att-1';
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n';

/** Formats a head and a body apart; the head ends with its empty line. */
function format(body: string, framing: Framing, interim = ''): { head: string; rest: string } {
  const lines = ['HTTP/1.1 200 OK', `attempt: ${ATTEMPT}`, 'signed: yes'];
  if (framing === 'length') lines.push(`content-length: ${body.length}`);
  if (framing === 'chunks') lines.push('transfer-encoding: chunked');
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)]
    .map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`)
    .join('');
  const rest = framing === 'chunks' ? `${chunks}0\r\n\r\n` : body;
  return { head: `${interim}${[...lines, 'x-last: 1'].join('\r\n')}\r\n\r\n`, rest };
}

/** Sends one request for each number of bytes after which the upstream closes its connection. */
async function sendTruncated(
  response: string,
  lengths: number[],
  route: Partial<Route>,
  close: 'end' | 'reset' = 'end',
): Promise<{ length: number; answer: ClientResponse }[]> {
  let length = 0;
  const upstream = await ScriptedUpstream.start((socket) => {
    const bytes = response.slice(0, length);
    if (close === 'end') socket.end(bytes);
    else socket.write(bytes, () => socket.resetAndDestroy());
  });
  const entry = await startEntry([upstream], { maxAttempts: 1, ...route });
  const answers = [];
  try {
    for (length of lengths) answers.push({ length, answer: await entry.send() });
    return answers;
  } finally {
    entry.stop();
  }
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

const routes: [string, Partial<Route>, string][] = [
  ['a call', { kind: 'nonIdempotent' }, BODY],
  ['an idempotent request', {}, BODY],
  ['a stream', STREAM, EVENTS],
];
const framings: Framing[] = ['length', 'chunks', 'closing'];

// Guards against a 200 with an empty body, framed as whole, from an upstream that closed in its head.
for (const [name, route, body] of routes)
  test(`${name} whose answer ends inside its head is answered with 502`, async () => {
    for (const framing of framings)
      for (const interim of ['', INTERIM]) {
        const { head } = format(body, framing, interim);
        for (const { length, answer } of await sendTruncated(head, range(head.length), route)) {
          const seen = [framing, length, answer.status, answer.headers.signed];
          assert.deepEqual(seen, [framing, length, 502, undefined]);
        }
      }
  });

test('an answer whose head is reset is not relayed', async () => {
  const { head } = format(BODY, 'closing');
  for (const { answer } of await sendTruncated(head, range(head.length), {}, 'reset'))
    assert.equal(answer.status, 502);
});

// Guards against a 200 with a short body, framed as whole.
test('a body that is shorter than its framing says is not relayed as whole', async () => {
  for (const [, route, body] of routes)
    for (const framing of ['length', 'chunks'] as const) {
      const { head, rest } = format(body, framing);
      const lengths = range(rest.length).map((length) => head.length + length);
      for (const { length, answer } of await sendTruncated(head + rest, lengths, route)) {
        const isWhole = answer.status === 200 && answer.isComplete;
        assert.equal(isWhole, false, `${framing}, ${length - head.length} of ${rest.length} bytes`);
      }
    }
});

test('a whole answer is relayed in each framing', async () => {
  for (const [, route, body] of routes)
    for (const framing of framings) {
      const { head, rest } = format(body, framing, INTERIM);
      const whole = head + rest;
      const [{ answer } = { answer: undefined }] = await sendTruncated(
        whole,
        [whole.length],
        route,
      );
      assert.deepEqual([answer?.status, answer?.body, answer?.isComplete], [200, body, true]);
    }
});
