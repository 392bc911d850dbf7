import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LengthAwarePlacement, LeastLoadedPlacement } from '../../src/index.js';
import type { Engine, PlacementResult, WorkItem } from '../../src/index.js';
import { createEngine, createLedger, createReservation, createWorkItem } from '../samples.js';

function place(
  work: WorkItem,
  engines: Engine[],
  placement = new LengthAwarePlacement(),
): PlacementResult | undefined {
  const ledger = createLedger(...engines);
  return placement.findPlace({ work, ledger, now: 0, isBelowMinimumShare: false });
}

function getEngineIds(found: PlacementResult | undefined): string[] | undefined {
  return found?.shares.map(({ engine }) => engine.id);
}

test('a prompt is placed on the engine that has its prefix cached', () => {
  const [a, b] = [createEngine('a'), createEngine('b')];
  b.prefixes.add('p1');
  const found = place(createWorkItem({ prefixes: ['p1', 'p2'] }), [a, b]);
  assert.deepEqual(getEngineIds(found), ['b']);
  assert.equal(found?.cachedTokens, 512);
});

test('a long backlog outweighs a prefix cache hit', () => {
  const [a, b] = [createEngine('a'), createEngine('b')];
  b.prefixes.add('p1');
  b.addReservation(
    createReservation({ prefillTokens: 8000, enginePriority: 0, priority: 'urgent' }),
  );
  assert.deepEqual(getEngineIds(place(createWorkItem({ prefixes: ['p1'] }), [a, b])), ['a']);
});

test('a short prompt avoids an engine with a long one', () => {
  const [a, b] = [createEngine('a'), createEngine('b')];
  a.addReservation(createReservation({ isLong: true }));
  assert.deepEqual(getEngineIds(place(createWorkItem(), [a, b])), ['b']);
});

test('a long prompt is not placed on an engine that is prefilling another one', () => {
  const a = createEngine('a');
  a.addReservation(createReservation({ isLong: true }));
  assert.equal(place(createWorkItem({ isLong: true }), [a]), undefined);
});

test('an engine that lacks the model, is not ready or is avoided is not chosen', () => {
  const [a, b, c] = [createEngine('a'), createEngine('b'), createEngine('c')];
  a.models.clear();
  b.isReady = false;
  assert.equal(place(createWorkItem({ avoidedEngines: ['c'] }), [a, b, c]), undefined);
});

test('batch work leaves headroom for urgent work', () => {
  const a = createEngine('a');
  a.addReservation(createReservation({ tokens: 8000, isDecoding: true }));
  assert.equal(place(createWorkItem({ priority: 'batch' }), [a]), undefined);
  assert.ok(place(createWorkItem({ priority: 'urgent' }), [a]));
});

test('a prompt larger than any engine is placed on several', () => {
  const engines = ['a', 'b', 'c'].map((id) => createEngine(id));
  const found = place(createWorkItem({ promptTokens: 25_000, isLong: true }), engines);
  assert.equal(
    found?.shares.reduce((sum, share) => sum + share.tokens, 0),
    25_100,
  );
});

test('a large prompt reserves no memory until all of it is available', () => {
  const engines = ['a', 'b', 'c'].map((id) => createEngine(id));
  engines[0]?.addReservation(createReservation({ tokens: 6000 }));
  assert.equal(place(createWorkItem({ promptTokens: 25_000, isLong: true }), engines), undefined);
  assert.equal(engines[1]?.reservedTokens, 0);
});

test('engines held back for a large prompt accept no batch work', () => {
  const engines = ['a', 'b', 'c'].map((id) => createEngine(id));
  const placement = new LengthAwarePlacement();
  engines[0]?.addReservation(createReservation({ request: 'r', tokens: 6000, isDecoding: true }));
  const large = createWorkItem({ promptTokens: 25_000, isLong: true });
  assert.equal(place(large, engines, placement), undefined);
  assert.equal(place(createWorkItem({ priority: 'batch' }), engines, placement), undefined);
  assert.ok(place(createWorkItem({ priority: 'urgent' }), engines, placement));
  engines[0]?.removeReservation('r');
  assert.equal(place(large, engines, placement)?.shares.length, 3);
});

test('engines are held back for one large prompt at a time', () => {
  const engines = ['a', 'b', 'c'].map((id) => createEngine(id));
  const placement = new LengthAwarePlacement();
  engines[0]?.addReservation(createReservation({ request: 'r', tokens: 6000 }));
  const [first, second] = [1, 2].map(() => createWorkItem({ promptTokens: 25_000, isLong: true }));
  assert.equal(place(first, engines, placement), undefined);
  engines[0]?.removeReservation('r');
  assert.equal(place(second, engines, placement), undefined);
  assert.ok(place(first, engines, placement));
});

test('a customer over its fair share does not run before one below it', () => {
  const a = createEngine('a');
  a.addReservation(
    createReservation({ customer: 'large', priority: 'standard', isDecoding: true }),
  );
  const large = place(createWorkItem({ customer: 'large' }), [a]);
  a.addReservation(
    createReservation({ customer: 'large', priority: 'standard', isDecoding: true }),
  );
  const small = place(createWorkItem({ customer: 'small', promptTokens: 100 }), [a]);
  assert.ok((small?.enginePriority ?? 99) <= (large?.enginePriority ?? 0));
});

test('a new customer runs before one that uses all engines', () => {
  const a = createEngine('a');
  const lone = place(createWorkItem({ customer: 'large' }), [a]);
  a.addReservation(createReservation({ customer: 'large', priority: 'standard', tokens: 6000 }));
  const newcomer = place(createWorkItem({ customer: 'small' }), [a]);
  assert.ok((newcomer?.enginePriority ?? 99) < (lone?.enginePriority ?? 0));
});

test('the baseline policy chooses the engine with the fewest requests', () => {
  const [a, b] = [createEngine('a'), createEngine('b')];
  a.addReservation(createReservation());
  const found = place(createWorkItem(), [a, b], new LeastLoadedPlacement() as never);
  assert.deepEqual(getEngineIds(found), ['b']);
});
