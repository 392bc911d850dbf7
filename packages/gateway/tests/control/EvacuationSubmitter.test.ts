import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Evacuations } from '../../src/control/Evacuations.js';
import { EvacuationSubmitter } from '../../src/control/EvacuationSubmitter.js';
import type { EvacuationSubmitterOptions } from '../../src/control/EvacuationSubmitter.js';
import { silentLogger } from './ControlCluster.js';

/** Creates a submitter whose log is in memory; its own revision does not advance. */
function createSubmitter(options: Partial<EvacuationSubmitterOptions> = {}) {
  const log = new Evacuations();
  const submitter = new EvacuationSubmitter({
    commit: async (order) => log.apply(order),
    getRevision: () => 0,
    mayExist: () => true,
    logger: silentLogger,
    timeoutMs: 5000,
    intervalMs: 5,
    ...options,
  });
  return { log, submitter };
}

test('an order is accepted by a process that lags behind the log', async () => {
  const { log, submitter } = createSubmitter();
  await submitter.submit('a', true);
  await submitter.submit('b', true);
  assert.deepEqual(await submitter.submit('a', false), { kind: 'accepted', revision: 3 });
  assert.deepEqual(log.current.dataCentres, ['b']);
});

test('an order waits for an election', async () => {
  let attempts = 0;
  const log = new Evacuations();
  const { submitter } = createSubmitter({
    commit: async (order) => {
      attempts += 1;
      if (attempts < 4) throw new Error('no leader');
      return log.apply(order);
    },
  });
  assert.equal((await submitter.submit('a', true)).kind, 'accepted');
});

test('without a quorum, an order is not accepted', async () => {
  const { submitter } = createSubmitter({ commit: () => new Promise(() => {}), timeoutMs: 100 });
  assert.equal((await submitter.submit('a', true)).kind, 'unknown');
});

// Guards against an order that is proposed although its sender has sent another one elsewhere.
test('nothing is proposed after the answer', async () => {
  let attempts = 0;
  const { submitter } = createSubmitter({
    commit: async () => {
      attempts += 1;
      throw new Error('no leader');
    },
    timeoutMs: 100,
  });
  await submitter.submit('a', true);
  const attemptsBefore = attempts;
  await sleep(50);
  assert.equal(attempts, attemptsBefore);
});

test('two operators who differ are both answered, and the log decides', async () => {
  const { log, submitter } = createSubmitter();
  const outcomes = await Promise.all([
    submitter.submit('a', true),
    submitter.submit('a', false),
    submitter.submit('a', true),
  ]);
  // The third one finds what it asks for; the second one is last in the log.
  assert.deepEqual(
    outcomes.map((outcome) => outcome.kind === 'accepted' && outcome.revision),
    [1, 2, 1],
  );
  assert.deepEqual(log.current, { revision: 2, dataCentres: [] });
});

test('a data centre that certainly does not exist is refused, and no other one', async () => {
  const { log, submitter } = createSubmitter({ mayExist: (name) => name === 'a' });
  assert.equal((await submitter.submit('b', true)).kind, 'unknownDataCentre');
  assert.equal((await submitter.submit('a', true)).kind, 'accepted');
  assert.deepEqual(log.current.dataCentres, ['a']);
  const { submitter: other } = createSubmitter();
  assert.equal((await other.submit('x'.repeat(10_000), true)).kind, 'unknownDataCentre');
});
