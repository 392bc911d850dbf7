import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { getUnreleasedTokens } from '../src/harness/fleetMetrics.js';
import type { FakeEngineStats } from '../src/engine/FakeEngine.js';
import { sendPrompt, getStats, startFleet, waitFor } from './startFleet.js';
import type { TestFleet } from './startFleet.js';

const KV_TOKENS = 4000;
const LONG_DEADLINE = { 'azurecart-deadline-ms': '60000' };

let testFleet: TestFleet;

before(async () => {
  testFleet = await startFleet('memory', {
    engineCount: 3,
    engineSettings: { kvTokens: KV_TOKENS, maxBatch: 4 },
    fleet: { controls: 1, dataCentres: ['khomas-a'] },
  });
});

after(() => testFleet.fleet.stop());

async function countTimelineEvents(kind: string): Promise<number> {
  const files = testFleet.fleet.entries.map(({ vm }) =>
    testFleet.fleet.getPath(`${vm}.timeline.jsonl`),
  );
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8')));
  return texts.join('').split(`"kind":"${kind}"`).length - 1;
}

/** Gets the tokens held by all engines, plus one for each engine over its capacity. */
async function getHeldTokens(): Promise<number> {
  const stats = await Promise.all(
    testFleet.engines.map(({ url }) => getStats<FakeEngineStats>(url)),
  );
  return stats.reduce((sum, { held, overfilled }) => sum + held + overfilled, 0);
}

test('a prompt that needs more than twice the memory of one engine is answered', async () => {
  const answer = await sendPrompt(testFleet, { promptTokens: 9500, headers: LONG_DEADLINE });
  assert.equal(answer.kind, 'whole');
});

test('three concurrent multi-engine prompts are all answered', async () => {
  const answers = await Promise.all(
    [0, 1, 2].map(() => sendPrompt(testFleet, { promptTokens: 9500, headers: LONG_DEADLINE })),
  );
  assert.deepEqual(
    answers.map(({ kind }) => kind),
    ['whole', 'whole', 'whole'],
  );
});

test('consecutive multi-engine prompts are all answered', async () => {
  for (let count = 0; count < 5; count += 1) {
    const answer = await sendPrompt(testFleet, {
      promptTokens: 9500,
      maxTokens: 1,
      headers: LONG_DEADLINE,
    });
    assert.equal(answer.kind, 'whole', answer.code);
  }
});

test('a prompt beyond the memory of all engines is refused as not run', async () => {
  const answer = await sendPrompt(testFleet, { promptTokens: 20_000, headers: LONG_DEADLINE });
  assert.deepEqual([answer.kind, answer.outcome], ['refused', 'not-run']);
});

test('cancelling a multi-engine prompt frees the memory of all engines', async () => {
  await sendPrompt(testFleet, {
    promptTokens: 9500,
    maxTokens: 400,
    headers: LONG_DEADLINE,
    timeoutMs: 600,
  });
  assert.equal(await getUnreleasedTokens(testFleet.fleet), 0);
  await waitFor(async () => (await getHeldTokens()) === 0, 'no engine to hold memory');
});

test('urgent requests preempt batch requests, which complete later', async () => {
  const pausesBefore = await countTimelineEvents('paused');
  const batch = Array.from({ length: 3 }, () => {
    const key = 'key-engineering';
    return sendPrompt(testFleet, {
      key,
      promptTokens: 3000,
      maxTokens: 300,
      headers: LONG_DEADLINE,
    });
  });
  await sleep(1500);
  const urgent = await sendPrompt(testFleet, { key: 'key-dispatch', promptTokens: 3000 });
  assert.equal(urgent.kind, 'whole');
  const kinds = (await Promise.all(batch)).map(({ kind }) => kind);
  assert.deepEqual(kinds, ['whole', 'whole', 'whole']);
  await waitFor(
    async () => (await countTimelineEvents('paused')) > pausesBefore,
    'a pause in the timeline',
  );
});

test('no engine holds memory after the previous tests', async () => {
  assert.equal(await getUnreleasedTokens(testFleet.fleet), 0);
  assert.equal(await getHeldTokens(), 0);
});
