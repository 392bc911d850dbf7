import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { TestEntry } from './startEntry.js';

const COLD_PER_SECOND = 10;
/** Share that this process has of the limit: two fifths, as it knows no other and no scheduler. */
const OWN_PER_SECOND = 4;
/** Seconds that the requests of a test take at most. */
const SECONDS = 5;

const respond: Script = (socket, request) => {
  socket.write(formatResponse(request, '200 OK', 'x'));
};

/** Starts upstreams and an entry process without a scheduler. */
async function start(count: number, isInTouch = true, script = respond) {
  const upstreams: ScriptedUpstream[] = [];
  for (let index = 0; index < count; index += 1)
    upstreams.push(await ScriptedUpstream.start(script));
  const options = { coldRequestsPerSecond: COLD_PER_SECOND, isInTouch };
  return { upstreams, entry: await startEntry(upstreams, {}, options) };
}

/** Lets the first upstream announce itself again. */
function announce(entry: TestEntry, coldMs: number, bornAt = 1): void {
  const { upstreamTable } = entry.view;
  const { lastSeenAt, ...known } = upstreamTable.getUpstream('u0') ?? assert.fail();
  const sequence = bornAt === known.bornAt ? known.sequence + 1 : 1;
  upstreamTable.merge({ ...known, bornAt, sequence, coldMs });
}

async function sendAll(entry: TestEntry, requests: number): Promise<number[]> {
  const statuses: number[] = [];
  for (let count = 0; count < requests; count += 1) statuses.push((await entry.send()).status);
  return statuses;
}

test('warm upstreams go before a cold one', async () => {
  const { upstreams, entry } = await start(2);
  try {
    announce(entry, 3000);
    await sendAll(entry, 5);
    assert.deepEqual(
      upstreams.map(({ received }) => received.length),
      [0, 5],
    );
    announce(entry, 0);
    await sendAll(entry, 5);
    assert.deepEqual(
      upstreams.map(({ received }) => received.length),
      [5, 5],
    );
  } finally {
    entry.stop();
  }
});

// Guards against an upstream that falls over because each process sends it what it likes.
test('a cold upstream gets only the share of this process, and the rest is refused', async () => {
  const { upstreams, entry } = await start(1);
  try {
    announce(entry, 60_000);
    const startedAt = performance.now();
    const statuses = await sendAll(entry, OWN_PER_SECOND * SECONDS);
    const seconds = Math.ceil((performance.now() - startedAt) / 1000);
    const received = upstreams[0]?.received.length ?? 0;
    assert.ok(received >= 1 && received <= OWN_PER_SECOND * seconds, `${received}`);
    assert.equal(statuses.filter((status) => status === 200).length, received);
    assert.ok(statuses.every((status) => status === 200 || status === 503));
  } finally {
    entry.stop();
  }
});

test('an upstream that crashes and comes back cold under its own id is limited anew', async () => {
  const { upstreams, entry } = await start(1);
  const getReceived = (): number => upstreams[0]?.received.length ?? 0;
  try {
    await sendAll(entry, 30);
    assert.equal(getReceived(), 30);
    announce(entry, 60_000, 2);
    const startedAt = performance.now();
    await sendAll(entry, 30);
    const seconds = Math.ceil((performance.now() - startedAt) / 1000);
    assert.ok(getReceived() - 30 <= OWN_PER_SECOND * seconds, `${getReceived()}`);
    announce(entry, 0, 2);
    const before = getReceived();
    await sendAll(entry, 10);
    assert.equal(getReceived() - before, 10);
  } finally {
    entry.stop();
  }
});

// Guards against a process that wakes with an old view and sends what has piled up to an upstream
// that has come back cold under its own id since.
test('a process that is out of touch treats an upstream as cold that it knows as warm', async () => {
  const { upstreams, entry } = await start(1, false);
  try {
    const startedAt = performance.now();
    const requests = Array.from({ length: 12 }, () => entry.send());
    const statuses = (await Promise.all(requests)).map(({ status }) => status);
    const seconds = Math.ceil((performance.now() - startedAt) / 1000);
    const received = upstreams[0]?.received.length ?? 0;
    assert.ok(received >= 1 && received <= OWN_PER_SECOND * seconds, `${received}`);
    assert.equal(statuses.filter((status) => status === 503).length, 12 - received);
  } finally {
    entry.stop();
  }
});

// Guards against a crowd at an upstream that is back after a crash and has not announced itself yet.
test('an upstream that has broken off counts as cold until it announces itself', async () => {
  let isBroken = true;
  const { upstreams, entry } = await start(1, true, (socket, request) => {
    if (isBroken) socket.destroy();
    else respond(socket, request);
  });
  const getReceived = (): number => upstreams[0]?.received.length ?? 0;
  try {
    await entry.send();
    isBroken = false;
    const before = getReceived();
    const startedAt = performance.now();
    await sendAll(entry, 12);
    const seconds = Math.ceil((performance.now() - startedAt) / 1000);
    assert.ok(getReceived() - before <= OWN_PER_SECOND * seconds, `${getReceived() - before}`);
    announce(entry, 0);
    const warmFrom = getReceived();
    await sendAll(entry, 12);
    assert.equal(getReceived() - warmFrom, 12);
  } finally {
    entry.stop();
  }
});
