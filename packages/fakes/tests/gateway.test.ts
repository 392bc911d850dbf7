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

const ALL_EVENT_IDS = ['id: 1', 'id: 2', 'id: 3', 'id: 4', 'id: 5', 'id: 6'];

/** Matches the prompt of 390,000 tokens, which needs four runners of 100,000 tokens. */
function isLongPrompt({ headers }: RecordedRequest): boolean {
  return String(headers['x-token-usage']).startsWith('390000');
}

function getEventIds(text: string): string[] {
  return text.match(/id: \d+/g) ?? [];
}

test('a prompt is answered completely and forwarded with its customer but without its API key', () =>
  withGateway('complete', 2, async ({ runners, send }) => {
    const { status, text } = await send(1000);
    assert.deepEqual([status, getEventIds(text)], [200, ALL_EVENT_IDS]);
    const requests = runners.flatMap((runner) => runner.recordedRequests);
    assert.ok(requests.every(({ headers }) => headers['x-tenant-id'] === 'tenant'));
    assert.ok(requests.every(({ headers }) => headers.authorization === undefined));
  }));

test('a prompt beyond the memory of one runner reserves memory on others and releases it', () =>
  withGateway('multi-runner', 4, async ({ runners, send }) => {
    // Needs three runners of 100,000 tokens: the leading one and two with a reservation.
    const { status, text } = await send(250_000);
    assert.deepEqual([status, getEventIds(text)], [200, ALL_EVENT_IDS]);
    assert.equal(
      runners.reduce((sum, { reservations }) => sum + reservations.grantedCount, 0),
      2,
    );
    await waitFor(() => runners.every(({ reservations }) => reservations.heldCount === 0));
  }));

test('memory reserved for an unresponsive leading runner is released within 4 s', () =>
  withGateway('unresponsive', 5, async ({ runners, send }) => {
    const response = send(390_000);
    const getLeadingRunner = () =>
      runners.find(({ recordedRequests }) => recordedRequests.some(isLongPrompt));
    await waitFor(() => getLeadingRunner() !== undefined);
    const leadingRunner = getLeadingRunner();
    if (leadingRunner) leadingRunner.behaviour = 'unresponsive';
    const failedAt = performance.now();
    const others = runners.filter((runner) => runner !== leadingRunner);
    const reservationCount = others.reduce(
      (sum, { reservations: { grantedCount } }) => sum + grantedCount,
      0,
    );
    assert.ok(reservationCount >= 3);
    await waitFor(() => others.every(({ reservations: { heldCount } }) => heldCount === 0));
    assert.ok(performance.now() - failedAt < 4000);
    await response;
  }));

test('a stream resumes on another runner after a reset or a stall', () =>
  withGateway('resumed', 3, async ({ runners, send }) => {
    for (const behaviour of ['reset', 'stalled'] as const) {
      const [first] = runners;
      if (first) first.behaviour = behaviour;
      for (let index = 0; index < 4; index += 1) {
        const { status, text } = await send(1000);
        assert.deepEqual([status, getEventIds(text)], [200, ALL_EVENT_IDS]);
      }
    }
  }));

test('a draining runner gets no further requests', () =>
  withGateway('draining', 2, async ({ runners, operatorAddress, send }) => {
    const [first, second] = runners;
    await first?.announce(operatorAddress, 'draining');
    const countBefore = first?.recordedRequests.length;
    for (let index = 0; index < 5; index += 1) assert.equal((await send(1000)).status, 200);
    assert.equal(first?.recordedRequests.length, countBefore);
    assert.ok((second?.recordedRequests.length ?? 0) >= 5);
  }));

test('a full runner is skipped, and the response of a failing one is forwarded', () =>
  withGateway('failing', 2, async ({ runners, send }) => {
    const [first, second] = runners;
    if (first) first.behaviour = 'full';
    assert.equal((await send(1000)).status, 200);
    if (first) first.behaviour = 'failing';
    if (second) second.behaviour = 'failing';
    const { status, text } = await send(1000);
    assert.deepEqual([status, text], [500, 'failed']);
  }));

test('requests are served while the control process is down', () =>
  withGateway('no-control', 2, async ({ control, send }) => {
    await control.kill();
    for (let index = 0; index < 5; index += 1) {
      const { status, text } = await send(1000);
      assert.deepEqual([status, getEventIds(text)], [200, ALL_EVENT_IDS]);
    }
  }));
