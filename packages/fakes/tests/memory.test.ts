import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { getReservedAfterQuiet } from '../src/harness/fleetProbes.js';
import type { FakeEngineStats } from '../src/engine/FakeEngine.js';
import { ask, getStats, startFleet, waitFor } from './startFleet.js';
import type { TestFleet } from './startFleet.js';

const KV_TOKENS = 4000;
const PATIENT = { 'azurecart-deadline-ms': '60000' };

let running: TestFleet;

before(async () => {
  running = await startFleet('memory', {
    engines: 3,
    engine: { kvTokens: KV_TOKENS, maxBatch: 4 },
    fleet: { controls: 1, dataCentres: ['khomas-a'] },
  });
});

after(() => running.fleet.stop());

async function countEvents(kind: string): Promise<number> {
  const files = running.fleet.entries.map(({ vm }) =>
    running.fleet.getPath(`${vm}.timeline.jsonl`),
  );
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8')));
  return texts.join('').split(`"kind":"${kind}"`).length - 1;
}

async function getHeld(): Promise<number> {
  const stats = await Promise.all(running.engines.map(({ url }) => getStats<FakeEngineStats>(url)));
  return stats.reduce((sum, { held, overfilled }) => sum + held + overfilled, 0);
}

test('a prompt of more than twice one engine’s memory is answered', async () => {
  const answer = await ask(running, { promptTokens: 9500, headers: PATIENT });
  assert.equal(answer.kind, 'whole');
});

test('three such prompts at once are all answered', async () => {
  const answers = await Promise.all(
    [0, 1, 2].map(() => ask(running, { promptTokens: 9500, headers: PATIENT })),
  );
  assert.deepEqual(
    answers.map(({ kind }) => kind),
    ['whole', 'whole', 'whole'],
  );
});

test('such prompts one after another are all answered', async () => {
  for (let count = 0; count < 5; count += 1) {
    const answer = await ask(running, { promptTokens: 9500, maxTokens: 1, headers: PATIENT });
    assert.equal(answer.kind, 'whole', answer.code);
  }
});

test('a prompt of more than all memory is refused as not run', async () => {
  const answer = await ask(running, { promptTokens: 20_000, headers: PATIENT });
  assert.deepEqual([answer.kind, answer.outcome], ['refused', 'not-run']);
});

test('a caller that leaves such a prompt frees all engines', async () => {
  await ask(running, { promptTokens: 9500, maxTokens: 400, headers: PATIENT, timeoutMs: 600 });
  assert.equal(await getReservedAfterQuiet(running.fleet), 0);
  await waitFor(async () => (await getHeld()) === 0, 'no engine holds memory');
});

test('batch work gives way to urgent work and is finished later', async () => {
  const earlier = await countEvents('paused');
  const batch = Array.from({ length: 3 }, () => {
    const key = 'key-engineering';
    return ask(running, { key, promptTokens: 3000, maxTokens: 300, headers: PATIENT });
  });
  await sleep(1500);
  const urgent = await ask(running, { key: 'key-dispatch', promptTokens: 3000 });
  assert.equal(urgent.kind, 'whole');
  const kinds = (await Promise.all(batch)).map(({ kind }) => kind);
  assert.deepEqual(kinds, ['whole', 'whole', 'whole']);
  await waitFor(async () => (await countEvents('paused')) > earlier, 'a pause in the time line');
});

test('after all this no engine holds memory', async () => {
  assert.equal(await getReservedAfterQuiet(running.fleet), 0);
  assert.equal(await getHeld(), 0);
});
