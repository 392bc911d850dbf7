import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from '../../src/index.js';

test('retries are limited to a share of first attempts', () => {
  const budget = new RetryBudget({ ratio: 0.1, capacity: 1 });
  assert.ok(budget.takeRetry());
  assert.ok(!budget.takeRetry());
  // The sum of ten times 0.1 is slightly below 1 in floating point, so an eleventh is needed.
  for (let count = 0; count < 11; count += 1) budget.addAttempt();
  assert.ok(budget.takeRetry());
  assert.ok(!budget.takeRetry());
});
