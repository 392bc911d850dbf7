import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';

/** Answers one request after the other, then goes on with the last response. */
function respond(...responses: [status: string, headers: string[]][]): Script {
  let count = 0;
  return (socket, request) => {
    const [status, headers] = responses[Math.min(count, responses.length - 1)] ?? ['200 OK', []];
    count += 1;
    socket.write(formatResponse(request, status, 'x', headers));
  };
}

const SOUND: [string, string[]] = ['200 OK', ['signed: yes']];

/** Sends requests to an upstream that is preferred and another one; gets how many each received. */
async function countRequests(preferred: Script, requests: number): Promise<number[]> {
  const upstreams = [
    await ScriptedUpstream.start(preferred),
    await ScriptedUpstream.start(respond(SOUND)),
  ];
  const entry = await startEntry(upstreams);
  try {
    for (let count = 0; count < requests; count += 1) await entry.send();
    return upstreams.map(({ received }) => received.length);
  } finally {
    entry.stop();
  }
}

test('an upstream that names a limit gets no requests without a permit', async () => {
  const limited = respond(['200 OK', ['signed: yes', 'limit: 1']]);
  assert.deepEqual(await countRequests(limited, 5), [1, 4]);
});

test('an upstream without a limit stays preferred', async () => {
  assert.deepEqual(await countRequests(respond(SOUND), 5), [5, 0]);
});

// Guards against a limit that is heeded only if it comes with a success.
test('a failure names a limit as well', async () => {
  const failing = respond(['500 No', ['signed: yes', 'limit: 0.5']]);
  const [preferred] = await countRequests(failing, 5);
  assert.equal(preferred, 1);
});

test('a statement that the request was not run names a limit but does not lift it', async () => {
  const named: [string, string[]] = ['503 Busy', ['unrun: 1', 'limit: 0.5']];
  const [preferred] = await countRequests(respond(named, ['503 Busy', ['unrun: 1']]), 5);
  assert.equal(preferred, 1);
});
