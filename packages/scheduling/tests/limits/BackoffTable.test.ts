import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BackoffTable } from '../../src/index.js';

function createTable() {
  const clock = { now: 1000 };
  return { clock, table: new BackoffTable({ now: () => clock.now }) };
}

test('an upstream is left alone for the time that it asks for', () => {
  const { clock, table } = createTable();
  table.recordRefusal('u', 400);
  assert.deepEqual([table.getWaitMs('u'), table.getWaitMs('other')], [400, 0]);
  clock.now += 399;
  assert.equal(table.getWaitMs('u'), 1);
  clock.now += 1;
  assert.equal(table.getWaitMs('u'), 0);
});

test('an answer to a request from before the pause does not end it', () => {
  const { table } = createTable();
  table.recordRefusal('u', 400);
  table.recordAcceptance('u');
  assert.equal(table.getWaitMs('u'), 400);
});

test('a shorter time does not replace a longer one', () => {
  const { table } = createTable();
  table.recordRefusal('u', 400);
  table.recordRefusal('u', 10);
  assert.equal(table.getWaitMs('u'), 400);
});

// Guards against all requests that were held back going to an upstream the moment its pause ends.
test('after the pause one request at a time is sent until one is accepted', () => {
  const { clock, table } = createTable();
  table.recordRefusal('u', 100);
  clock.now += 100;
  table.recordSend('u');
  assert.ok(table.getWaitMs('u') > 0);
  clock.now += 250;
  assert.equal(table.getWaitMs('u'), 0);
  table.recordSend('u');
  table.recordAcceptance('u');
  assert.deepEqual([table.getWaitMs('u'), table.isEmpty], [0, true]);
});

test('a refusal of the trial starts another pause', () => {
  const { clock, table } = createTable();
  table.recordRefusal('u', 100);
  clock.now += 100;
  table.recordSend('u');
  table.recordRefusal('u', 700);
  assert.equal(table.getWaitMs('u'), 700);
});

test('absurd times are bounded', () => {
  const { table } = createTable();
  table.recordRefusal('long', 1e15);
  table.recordRefusal('negative', -5);
  assert.deepEqual([table.getWaitMs('long'), table.getWaitMs('negative')], [60_000, 0]);
});

test('upstreams that are gone are forgotten', () => {
  const { table } = createTable();
  table.recordRefusal('u', 400);
  table.retain(() => false);
  assert.equal(table.isEmpty, true);
});
