import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendPrompt, startFleet } from './startFleet.js';
import { startGateway, waitFor } from './startGateway.js';
import type { PromptResponse, TestGateway, TestGatewayOptions } from './startGateway.js';

/** Each answer of so many events lasts about five seconds. */
const LONG_EVENT_COUNT = 110;
/** Number of finished streams from which their usual duration is known. */
const SAMPLE_COUNT = 4;
const CLIENT_COUNT = 6;

async function withGateway(
  name: string,
  options: TestGatewayOptions,
  run: (gateway: TestGateway) => Promise<void>,
): Promise<void> {
  const gateway = await startGateway(name, 2, options);
  try {
    await run(gateway);
  } finally {
    await gateway.stop();
  }
}

function sendSamples({ send }: TestGateway): Promise<PromptResponse[]> {
  return Promise.all(Array.from({ length: SAMPLE_COUNT }, () => send(1000)));
}

function countRequests({ runners }: TestGateway): number {
  return runners.reduce((sum, { recordedRequests }) => sum + recordedRequests.length, 0);
}

// Guards against streams that a process accepts late in its shutdown and cuts when it exits.
test('a stream that may outlast the shutdown is rejected instead of being cut', () =>
  withGateway(
    'shutdown',
    { eventCount: LONG_EVENT_COUNT, graceSeconds: 8 },
    async (gateway: TestGateway) => {
      const agent = new Agent({ keepAlive: true });
      assert.equal((await gateway.send(1000, agent)).isComplete, true);
      // Keeps the process from exiting as soon as the load balancer has drained it.
      const countBefore = countRequests(gateway);
      const early = gateway.send(1000);
      await waitFor(() => countRequests(gateway) > countBefore);
      const stopped = gateway.entry.stop();
      await sleep(2800);
      const late = await gateway.send(1000, agent);
      const { status, isComplete } = await early;
      await stopped;
      agent.destroy();
      assert.deepEqual([late.status, late.isComplete], [503, true]);
      assert.ok(Number(late.headers['retry-after']) > 0);
      assert.deepEqual([status, isComplete], [200, true]);
    },
  ));

// Guards against streams that are accepted at the start of a shutdown although such streams usually
// last longer than the process does.
test('a stream expected to outlast the shutdown is rejected from its start', () =>
  withGateway(
    'shutdown-expected',
    { eventCount: LONG_EVENT_COUNT, graceSeconds: 5.5 },
    async (gateway: TestGateway) => {
      assert.ok((await sendSamples(gateway)).every(({ isComplete }) => isComplete));
      const stopped = gateway.entry.stop();
      await sleep(100);
      const late = await gateway.send(1000);
      await stopped;
      assert.deepEqual([late.status, late.isComplete], [503, true]);
    },
  ));

test('a stream expected to end before the shutdown is served', () =>
  withGateway('shutdown-short', { graceSeconds: 8 }, async (gateway: TestGateway) => {
    await sendSamples(gateway);
    const stopped = gateway.entry.stop();
    await sleep(1000);
    const { status, isComplete } = await gateway.send(1000);
    assert.equal(await stopped, 0);
    assert.deepEqual([status, isComplete], [200, true]);
  }));

// Guards against requests that a process passes on late in its shutdown and cuts at its exit.
test('each stream that a process passes on while it shuts down is answered whole', () =>
  withGateway('shutdown-series', { graceSeconds: 8 }, async (gateway: TestGateway) => {
    await sendSamples(gateway);
    const countBefore = countRequests(gateway);
    const responses: PromptResponse[] = [];
    const sendUntilGone = async (): Promise<void> => {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      try {
        for (;;) responses.push(await gateway.send(1000, agent));
      } catch {
        agent.destroy();
      }
    };
    const clients = Promise.all(Array.from({ length: CLIENT_COUNT }, sendUntilGone));
    await sleep(500);
    assert.equal(await gateway.entry.stop(), 0);
    await clients;
    const whole = responses.filter(({ status, isComplete }) => status === 200 && isComplete);
    assert.equal(countRequests(gateway) - countBefore, whole.length);
    assert.ok(responses.every(({ isComplete }) => isComplete));
    assert.ok(responses.every(({ status }) => status === 200 || status === 503));
  }));

// Guards against connections that are closed without a response when the process exits.
test('a request that has no response yet when the process exits is answered', () =>
  withGateway('shutdown-unanswered', { graceSeconds: 5 }, async (gateway: TestGateway) => {
    const { runners, entry, send } = gateway;
    for (const runner of runners) runner.behaviour = 'unresponsive';
    const unanswered = send(1000);
    await sleep(500);
    const stopped = entry.stop();
    const { status, isComplete } = await unanswered;
    await stopped;
    assert.deepEqual([status, isComplete], [504, true]);
  }));

// Guards against processes that are killed in the middle of a response because they wait too long.
test('a process exits within a short grace period', () =>
  withGateway('shutdown-grace', { graceSeconds: 2 }, async ({ entry }: TestGateway) => {
    const startedAt = performance.now();
    assert.equal(await entry.stop(), 0);
    assert.ok(performance.now() - startedAt < 2000);
  }));

// Guards against a repeated SIGTERM that ends the process at once and cuts its streams.
test('a repeated signal does not cut the streams of a process that shuts down', () =>
  withGateway(
    'shutdown-twice',
    { eventCount: 50, graceSeconds: 8 },
    async (gateway: TestGateway) => {
      const countBefore = countRequests(gateway);
      const stream = gateway.send(1000);
      await waitFor(() => countRequests(gateway) > countBefore);
      const stopped = gateway.entry.stop();
      await sleep(300);
      await Promise.all([stopped, gateway.entry.stop()]);
      const { status, isComplete } = await stream;
      assert.deepEqual([status, isComplete], [200, true]);
    },
  ));

// Guards against a repeated SIGTERM that ends an entry process of the fleet and cuts its answers.
test('a repeated signal does not cut the answers of a fleet', async () => {
  const testFleet = await startFleet('shutdown-fleet');
  const { fleet } = testFleet;
  try {
    const [entry] = fleet.entries;
    const answer = sendPrompt(testFleet, {
      url: entry?.url ?? '',
      key: 'key-dispatch',
      promptTokens: 1000,
      maxTokens: 300,
    });
    await sleep(1000);
    await Promise.all([entry?.process.stop(), sleep(300).then(() => entry?.process.stop())]);
    const { kind, code } = await answer;
    assert.deepEqual({ kind, code }, { kind: 'whole', code: '' });
  } finally {
    await fleet.stop();
  }
});
