import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RecordedRequest } from '../src/runner/index.js';
import { startGateway, waitFor } from './startGateway.js';
import type { TestGateway } from './startGateway.js';

async function withGateway(
  name: string,
  runnerCount: number,
  run: (gateway: TestGateway) => Promise<void>,
): Promise<void> {
  const gateway = await startGateway(name, runnerCount);
  try {
    await run(gateway);
  } finally {
    await gateway.stop();
  }
}

const WHOLE = ['id: 1', 'id: 2', 'id: 3', 'id: 4', 'id: 5', 'id: 6'];

function isLong({ headers }: RecordedRequest): boolean {
  return String(headers['x-token-usage']).startsWith('390000');
}

function getIds(text: string): string[] {
  return text.match(/id: \d+/g) ?? [];
}

test('a prompt is answered whole, for its customer and without its key', () =>
  withGateway('whole', 2, async ({ runners, send }) => {
    const { status, text } = await send(1000);
    assert.deepEqual([status, getIds(text)], [200, WHOLE]);
    const seen = runners.flatMap((runner) => runner.recordedRequests);
    assert.ok(seen.every(({ headers }) => headers['x-tenant-id'] === 'tenant'));
    assert.ok(seen.every(({ headers }) => headers.authorization === undefined));
  }));

test('a prompt beyond one runner is held by several and leaves nothing behind', () =>
  withGateway('joint', 4, async ({ runners, send }) => {
    const { status, text } = await send(250_000);
    assert.deepEqual([status, getIds(text)], [200, WHOLE]);
    assert.equal(
      runners.reduce((sum, { reservations }) => sum + reservations.grantedCount, 0),
      2,
    );
    await waitFor(() => runners.every(({ reservations }) => reservations.heldCount === 0));
  }));

test('memory held for a runner that died silently is given back within 4 s', () =>
  withGateway('dead', 5, async ({ runners, send }) => {
    const sent = send(390_000);
    const getLeader = () => runners.find(({ recordedRequests }) => recordedRequests.some(isLong));
    await waitFor(() => getLeader() !== undefined);
    const leader = getLeader();
    if (leader) leader.behaviour = 'unresponsive';
    const diedAt = performance.now();
    const others = runners.filter((runner) => runner !== leader);
    const reservationCount = others.reduce(
      (sum, { reservations: { grantedCount } }) => sum + grantedCount,
      0,
    );
    assert.ok(reservationCount >= 3);
    await waitFor(() => others.every(({ reservations: { heldCount } }) => heldCount === 0));
    assert.ok(performance.now() - diedAt < 4000);
    await sent;
  }));

test('a stream goes on at another runner when its own resets or falls silent', () =>
  withGateway('resumed', 3, async ({ runners, send }) => {
    for (const behaviour of ['reset', 'stalled'] as const) {
      const [first] = runners;
      if (first) first.behaviour = behaviour;
      for (let index = 0; index < 4; index += 1) {
        const { status, text } = await send(1000);
        assert.deepEqual([status, getIds(text)], [200, WHOLE]);
      }
    }
  }));

test('a runner that says it is leaving gets nothing more', () =>
  withGateway('leaving', 2, async ({ runners, operators, send }) => {
    const [first, second] = runners;
    await first?.announce(operators, 'draining');
    const before = first?.recordedRequests.length;
    for (let index = 0; index < 5; index += 1) assert.equal((await send(1000)).status, 200);
    assert.equal(first?.recordedRequests.length, before);
    assert.ok((second?.recordedRequests.length ?? 0) >= 5);
  }));

test('a full runner is passed over, and a failing one answers for itself', () =>
  withGateway('failing', 2, async ({ runners, send }) => {
    const [first, second] = runners;
    if (first) first.behaviour = 'full';
    assert.equal((await send(1000)).status, 200);
    if (first) first.behaviour = 'failing';
    if (second) second.behaviour = 'failing';
    const { status, text } = await send(1000);
    assert.deepEqual([status, text], [500, 'failed']);
  }));

test('service goes on without control', () =>
  withGateway('alone', 2, async ({ control, send }) => {
    await control.kill();
    for (let index = 0; index < 5; index += 1) {
      const { status, text } = await send(1000);
      assert.deepEqual([status, getIds(text)], [200, WHOLE]);
    }
  }));
