import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MemoryBudget, SMALL_HOLDER_BYTES } from '../../src/index.js';

const MAX_BYTES = 16 * SMALL_HOLDER_BYTES;
const LARGE_BYTES = 10 * SMALL_HOLDER_BYTES;
const { signal } = new AbortController();

test('holders wait for memory in turn and get what others give back', async () => {
  const budget = new MemoryBudget({ maxBytes: MAX_BYTES });
  const [first, second, third] = [budget.open(), budget.open(), budget.open()];
  assert.equal(first.tryGrow(LARGE_BYTES), true);
  const order: string[] = [];
  const grown = Promise.all([
    second.grow(LARGE_BYTES, signal).then(() => order.push('second')),
    third.grow(2 * SMALL_HOLDER_BYTES, signal).then(() => order.push('third')),
  ]);
  assert.equal(budget.waitingCount, 2);
  first.release();
  await grown;
  assert.deepEqual(order, ['second', 'third']);
  assert.equal(budget.usedBytes, LARGE_BYTES + 2 * SMALL_HOLDER_BYTES);
});

// Guards against short requests that wait behind long bodies.
test('a small holder gets memory while large ones wait', async () => {
  const budget = new MemoryBudget({ maxBytes: MAX_BYTES });
  budget.open().tryGrow(LARGE_BYTES);
  const waiting = budget.open().grow(LARGE_BYTES, AbortSignal.abort());
  assert.equal(budget.open().tryGrow(SMALL_HOLDER_BYTES), true);
  assert.equal(await waiting, false);
});

test('a wait ends with its signal, and the next holder is served', async () => {
  const budget = new MemoryBudget({ maxBytes: MAX_BYTES });
  const controller = new AbortController();
  const [first, second] = [budget.open(), budget.open()];
  first.tryGrow(LARGE_BYTES);
  const result = second.grow(LARGE_BYTES, controller.signal);
  controller.abort();
  assert.equal(await result, false);
  assert.equal(budget.waitingCount, 0);
  first.release();
  first.release();
  assert.equal(budget.usedBytes, 0);
});

// Guards against holders that wait for each other for ever.
test('a holder does not wait if all others that have memory wait', async () => {
  const budget = new MemoryBudget({ maxBytes: MAX_BYTES });
  const [first, second] = [budget.open(), budget.open()];
  first.tryGrow(7 * SMALL_HOLDER_BYTES);
  second.tryGrow(7 * SMALL_HOLDER_BYTES);
  const result = first.grow(LARGE_BYTES, signal);
  assert.equal(await second.grow(LARGE_BYTES, signal), false);
  second.release();
  first.release();
  assert.equal(await result, false);
});

test('the sum never exceeds the budget, and everything is given back', async () => {
  const sizes = fc.array(fc.integer({ min: 1, max: LARGE_BYTES }), { maxLength: 30 });
  await fc.assert(
    fc.asyncProperty(sizes, fc.array(fc.nat(29)), async (wanted, releases) => {
      const budget = new MemoryBudget({ maxBytes: MAX_BYTES });
      const holders = wanted.map(() => budget.open());
      const grown = holders.map((holder, index) => holder.grow(wanted[index] ?? 0, signal));
      for (const index of releases) {
        holders[index]?.release();
        await Promise.resolve();
        assert.ok(budget.usedBytes <= MAX_BYTES);
      }
      holders.forEach((holder) => holder.release());
      await Promise.all(grown);
      assert.deepEqual([budget.usedBytes, budget.waitingCount], [0, 0]);
    }),
  );
});
