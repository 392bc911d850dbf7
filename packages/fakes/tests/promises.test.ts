import assert from 'node:assert/strict';
import { rm } from 'node:fs/promises';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { getHighest, getReservedAfterQuiet, getSum } from '../src/harness/fleetProbes.js';
import type { FakeEngineStats } from '../src/engine/FakeEngine.js';
import { getSampleRelease } from '../src/harness/index.js';
import type { FleetMember } from '../src/harness/index.js';
import type { FakeServiceStats } from '../src/service/FakeService.js';
import { ask, getStats, startFleet, waitFor } from './startFleet.js';
import type { TestFleet } from './startFleet.js';

let running: TestFleet;

before(async () => {
  running = await startFleet('promises');
});

after(() => running.fleet.stop());

async function book(entry: number, key: string, body: string) {
  const response = await fetch(`${running.fleet.entryUrls[entry]}/work-orders/shutoffs`, {
    method: 'POST',
    body,
    headers: { authorization: 'Bearer key-planning', 'idempotency-key': key },
  });
  await response.text();
  return { status: response.status, outcome: response.headers.get('azurecart-outcome') };
}

async function countRuns(body: string): Promise<number> {
  const stats = await Promise.all(
    running.services.map(({ url }) => getStats<FakeServiceStats>(url)),
  );
  return stats.reduce((sum, { runs }) => sum + (runs[`POST /shutoffs ${body}`] ?? 0), 0);
}

async function getLeader(): Promise<FleetMember> {
  const { leader } = await running.fleet.getStatus();
  const member = running.fleet.controls.find(({ rpc }) => rpc === leader);
  assert.ok(member);
  return member;
}

/** Gets the identity that a control process has in the log; it changes when the disk is wiped. */
async function getIdentity(vm: string): Promise<string | undefined> {
  const { members } = await running.fleet.getStatus();
  return members.find((member) => member.name === vm)?.id;
}

/** Waits until three voters hold all that is committed, none of them under a lost identity. */
async function waitForVoters(lostId = 'none'): Promise<void> {
  await waitFor(async () => {
    const { members, commitIndex } = await running.fleet.getStatus();
    const isWhole = members.length === 3 && members.every((member) => member.voter);
    const isLevel = members.every((member) => member.matchIndex >= commitIndex);
    return isWhole && isLevel && members.every((member) => member.id !== lostId);
  }, 'three voters');
}

async function waitInForce(number: number): Promise<void> {
  await waitFor(async () => {
    const { release } = await running.fleet.getStatus();
    return Number(release?.number) === number && (release?.inForceEverywhere ?? false);
  }, `release ${number} in force`);
}

test('an answer is whole through every entry process', async () => {
  for (const url of running.fleet.entryUrls) {
    assert.equal((await ask(running, { url })).kind, 'whole');
  }
});

test('an answer goes on when its engine dies', async () => {
  const answers = Array.from({ length: 12 }, () => ask(running, { maxTokens: 150 }));
  await sleep(500);
  await running.engines[0]?.child.kill();
  const kinds = (await Promise.all(answers)).map((answer) => answer.kind);
  running.engines[0]?.child.start();
  assert.deepEqual(new Set(kinds), new Set(['whole']));
});

test('a caller that leaves frees its memory', async () => {
  await ask(running, { maxTokens: 400, timeoutMs: 300 });
  assert.equal(await getReservedAfterQuiet(running.fleet), 0);
});

test('a booking sent twice with one key runs once', async () => {
  const answers = await Promise.all([0, 1, 0, 1].map((entry) => book(entry, 'k1', 'one')));
  assert.equal(await countRuns('one'), 1);
  assert.ok(answers.some(({ outcome }) => outcome === 'completed'));
  assert.equal((await book(1, 'k1', 'one')).outcome, 'completed');
});

test('a key used for another booking is refused', async () => {
  assert.equal((await book(0, 'k1', 'other')).status, 422);
});

test('of two releases with one number one wins', async () => {
  const [ana, ben] = await Promise.all(
    ['ana', 'ben'].map((name) => running.fleet.submit(getSampleRelease(2, { note: name }), name)),
  );
  const [won, lost] = ana?.accepted ? [ana, ben] : [ben, ana];
  assert.ok(won?.accepted && !lost?.accepted);
  assert.equal(lost?.operator, won.operator);
  const again = await running.fleet.submit(getSampleRelease(2, { note: won.operator }), 'cleo');
  assert.ok(again.accepted && again.operator === won.operator);
  await waitInForce(2);
});

test('a departing engine gets no new work', async () => {
  const engine = running.engines[2];
  await fetch(`${engine?.url}/fake/leave`);
  const endAt = performance.now() + 4000;
  while (performance.now() < endAt) await ask(running, { maxTokens: 1 });
  const { startAfterLeaveMs } = await getStats<FakeEngineStats>(engine?.url ?? '');
  assert.ok(startAfterLeaveMs <= 3000, `a start ${startAfterLeaveMs} ms after leaving`);
});

test('a departing service gets no new calls', async () => {
  const service = running.services[1];
  await fetch(`${service?.url}/fake/leave`);
  const endAt = performance.now() + 4000;
  for (let count = 0; performance.now() < endAt; count += 1) await book(0, `l${count}`, 'leave');
  const { startAfterLeaveMs } = await getStats<FakeServiceStats>(service?.url ?? '');
  assert.ok(startAfterLeaveMs <= 3000, `a call ${startAfterLeaveMs} ms after leaving`);
});

test('service goes on when the control leader dies', async () => {
  const leader = await getLeader();
  await leader.process.kill();
  const answers = await Promise.all(Array.from({ length: 10 }, () => ask(running)));
  assert.ok(answers.every(({ kind }) => kind === 'whole'));
  await waitFor(async () => (await book(0, 'k2', 'two')).outcome === 'completed', 'a booking');
  assert.equal(await countRuns('two'), 1);
  leader.process.start();
  await waitForVoters();
});

test('nothing is lost when a wiped control process is repaired and a second one dies', async () => {
  const wiped = running.fleet.controls.find(({ vm }) => vm !== 'control-0');
  const lostId = await getIdentity(wiped?.vm ?? '');
  await wiped?.process.kill();
  await rm(wiped?.dataFolder ?? '', { recursive: true });
  wiped?.process.start();
  await waitForVoters(lostId);
  const second = running.fleet.controls.find((each) => each !== wiped);
  await second?.process.kill();
  assert.equal(Number((await running.fleet.getStatus()).release?.number), 2);
  await waitFor(async () => (await book(1, 'k1', 'one')).outcome === 'completed', 'the record');
  assert.equal(await countRuns('one'), 1);
  second?.process.start();
  await waitForVoters();
});

test('an isolated entry process admits nothing after its lease, and catches up', async () => {
  const entry = running.fleet.entries[1];
  entry?.process.freeze();
  const receipt = await running.fleet.submit(getSampleRelease(3, { note: 'while frozen' }));
  assert.ok(receipt.accepted);
  await waitInForce(3);
  entry?.process.wake();
  await waitFor(
    async () => (await ask(running, { url: entry?.url ?? '' })).kind === 'whole',
    'it serves',
  );
  assert.equal(await getHighest(running.fleet, 'azurecart_release'), 3);
  assert.equal(await getSum(running.fleet, 'azurecart_release'), 6);
});

test('service comes back after control was away for longer than a lease', async () => {
  running.fleet.controls.forEach((member) => member.process.freeze());
  await sleep(4000);
  assert.equal((await ask(running)).outcome, 'not-run');
  running.fleet.controls.forEach((member) => member.process.wake());
  await Promise.all(
    running.fleet.entryUrls.map((url) =>
      waitFor(async () => (await ask(running, { url })).kind === 'whole', `${url} serves`),
    ),
  );
});

test('a graceful shutdown cuts no answer', async () => {
  const entry = running.fleet.entries[0];
  const answers = Array.from({ length: 10 }, () => ask(running, { maxTokens: 200 }));
  await sleep(300);
  const code = await entry?.process.stop();
  const kinds = (await Promise.all(answers)).map((answer) => answer.kind);
  entry?.process.start();
  assert.deepEqual(new Set(kinds), new Set(['whole']));
  assert.equal(code, 0);
  await running.fleet.waitForModel('fitting-assist', 2);
});

test('an invariant never failed, and no memory is left reserved', async () => {
  assert.equal(await getReservedAfterQuiet(running.fleet), 0);
  assert.equal(await getSum(running.fleet, 'azurecart_invariant_violations_total'), 0);
});
