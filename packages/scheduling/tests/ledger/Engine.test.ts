import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LedgerError } from '../../src/index.js';
import { createEngine, createReservation } from '../samples.js';

test('a reservation beyond the free memory is rejected', () => {
  const engine = createEngine('a');
  assert.throws(() => engine.addReservation(createReservation({ tokens: 10_001 })), LedgerError);
});

test('a second reservation for the same request is rejected', () => {
  const engine = createEngine('a');
  engine.addReservation(createReservation({ request: 'r' }));
  assert.throws(() => engine.addReservation(createReservation({ request: 'r' })), LedgerError);
});

test('the backlog shrinks as time passes', () => {
  const engine = createEngine('a');
  engine.addReservation(createReservation({ prefillTokens: 1000 }));
  assert.equal(engine.getBacklogMs(8, 0), 100);
  assert.equal(engine.getBacklogMs(8, 60), 40);
});

test('the backlog counts only equal and higher priorities', () => {
  const engine = createEngine('a');
  engine.addReservation(createReservation({ enginePriority: 8 }));
  assert.equal(engine.getBacklogMs(4, 0), 0);
});

test('grants made after a load report are added to the reported backlog', () => {
  const engine = createEngine('a');
  engine.addReservation(createReservation({ grantedAt: 0, prefillTokens: 1000 }));
  engine.report = { measuredAt: 50, queuedTokens: 400 };
  engine.addReservation(createReservation({ grantedAt: 60, prefillTokens: 1000 }));
  assert.equal(engine.getBacklogMs(8, 60), 130);
});

test('idle time between two grants does not reduce the backlog', () => {
  const engine = createEngine('a');
  engine.addReservation(createReservation({ grantedAt: 0, prefillTokens: 100 }));
  engine.addReservation(createReservation({ grantedAt: 150, prefillTokens: 1000 }));
  assert.equal(engine.getBacklogMs(8, 150), 100);
});
