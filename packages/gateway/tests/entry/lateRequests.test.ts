import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Route } from '../../src/configuration/index.js';
import { ProcessLifetime } from '../../src/entry/ProcessLifetime.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { ReceivedRequest, Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { ClientResponse } from './startEntry.js';

/** A call that may run once only, and usually takes 200 ms. */
const BOOKING: Partial<Route> = { kind: 'nonIdempotent', objectiveMs: 100, timeoutMs: 9000 };
const GRACE_MS = 2500;

const succeeding: Script = (socket, request) =>
  socket.write(formatResponse(request, '200 OK', 'fine'));

/** Sends a request right after the start of a shutdown. */
async function sendDuringShutdown(
  placementMs: number,
  route: Partial<Route>,
): Promise<{ response: ClientResponse; received: ReceivedRequest[]; lifetime: ProcessLifetime }> {
  const upstream = await ScriptedUpstream.start(succeeding);
  const lifetime = new ProcessLifetime({ graceMs: GRACE_MS });
  const entry = await startEntry([upstream], route, { placementMs, lifetime });
  lifetime.beginShutdown();
  try {
    const response = await entry.send({ deadline: '9000' });
    return { response, received: upstream.received, lifetime };
  } finally {
    entry.stop();
  }
}

// Guards against a call that waits for its place and is then cut in the middle at the exit.
test('a request that is placed too late in a shutdown is not sent', async () => {
  const { response, received } = await sendDuringShutdown(1600, BOOKING);
  assert.equal(received.length, 0);
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers['retry-after']) > 0);
});

test('a request whose deadline lies before the end of a shutdown is sent', async () => {
  const { response, received } = await sendDuringShutdown(800, { ...BOOKING, timeoutMs: 1500 });
  assert.deepEqual([response.status, received.length], [200, 1]);
});

// Guards against upstreams that work on a request for longer than its answer can be passed on.
test('an upstream is given no more time than the shutdown leaves', async () => {
  const { response, received, lifetime } = await sendDuringShutdown(0, BOOKING);
  assert.equal(response.status, 200);
  const deadlineMs = Number(received[0]?.headers.get('deadline'));
  assert.ok(deadlineMs > 0 && deadlineMs <= GRACE_MS, `${deadlineMs} ms`);
  assert.ok(deadlineMs >= lifetime.serviceMs);
});
