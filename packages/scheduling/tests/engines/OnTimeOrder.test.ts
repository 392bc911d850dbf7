import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OnTimeOrder } from '../../src/index.js';
import type { EngineJob, WaitingJob } from '../../src/index.js';

const LEAST_MS = 100;
const order = new OnTimeOrder({ getLeastMs: () => LEAST_MS });

/** A job with an objective of 1000 ms, of which 850 may be used. */
function createWaiting(id: string, arrivedAt: number, fields: Partial<EngineJob> = {}): WaitingJob {
  const job: EngineJob = {
    id,
    service: 's',
    dataCentre: 'd',
    promptTokens: 10,
    priority: 0,
    objectiveMs: 1000,
    pauseMs: 100,
    remainingMs: 9000,
    waitedMs: 0,
    excluded: [],
    parts: [],
    ...fields,
  };
  return { job, arrivedAt, deadlineAt: arrivedAt + 9000 };
}

function sort(waiting: WaitingJob[], now: number): string[] {
  return order.sort(waiting, now).map(({ job }) => job.id);
}

test('without overload the job that is due first goes first', () => {
  const waiting = [createWaiting('b', 20), createWaiting('a', 10)];
  waiting.push(createWaiting('c', 0, { objectiveMs: 3000 }));
  assert.deepEqual(sort(waiting, 30), ['a', 'b', 'c']);
});

// Guards against a queue in which every job waits until it is all but late.
test('once a job is late, the latest of those that can be on time goes first', () => {
  const waiting = [createWaiting('old', 0), createWaiting('a', 300), createWaiting('b', 600)];
  assert.deepEqual(sort(waiting, 751), ['b', 'a', 'old']);
  assert.deepEqual(sort(waiting, 750), ['old', 'a', 'b']);
});

test('more urgent jobs go first, and the overload of one priority does not reorder another', () => {
  const less = { priority: 1 };
  const waiting = [
    createWaiting('later', 500, less),
    createWaiting('sooner', 400, less),
    createWaiting('late', 0),
    createWaiting('fresh', 700),
  ];
  assert.deepEqual(sort(waiting, 800), ['fresh', 'late', 'sooner', 'later']);
});

test('late jobs keep the order in which they are due', () => {
  const waiting = [createWaiting('b', 100), createWaiting('a', 0)];
  assert.deepEqual(sort(waiting, 2000), ['a', 'b']);
});
