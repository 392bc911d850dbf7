import assert from 'node:assert/strict';
import { test } from 'node:test';
import { digestRelease, hashPrefixes, parseRelease, ValidationFault } from '../src/index.js';

const PRIORITY = { minimumShare: 0, deadlineMs: 1000, firstTokenMs: 500 };

function createText(changes: Record<string, unknown> = {}): string {
  const priorities = { urgent: PRIORITY, standard: PRIORITY, batch: PRIORITY };
  return JSON.stringify({ number: 1, follows: 0, priorities, ...changes });
}

function getFault(changes: Record<string, unknown>): string {
  try {
    parseRelease(createText(changes));
  } catch (error) {
    assert.ok(error instanceof ValidationFault);
    return error.message;
  }
  return 'none';
}

test('defaults are filled in', () => {
  assert.equal(parseRelease(createText()).routing.longTokens, 32_000);
});

test('an unknown field is refused', () => {
  assert.match(getFault({ models: [], modles: [] }), /modles/);
});

test('a number that does not follow is refused', () => {
  assert.match(getFault({ number: 3, follows: 1 }), /number: must be 2/);
});

test('a wrong type names path, expected and found', () => {
  assert.match(getFault({ note: 7 }), /note: expected string, found 7/);
});

test('a model without its pool is refused', () => {
  const models = [{ name: 'm', version: '1', pool: 'none' }];
  assert.match(getFault({ models }), /models\.0\.pool: names no pool: none/);
});

test('a key of two customers is refused', () => {
  const keyHashes = ['0'.repeat(64)];
  const customers = [
    { name: 'a', keyHashes },
    { name: 'b', keyHashes },
  ];
  assert.match(getFault({ customers }), /customers\.1\.keyHashes: a key stands twice/);
});

test('text that is not JSON is refused', () => {
  assert.throws(() => parseRelease('{'), /release: not JSON/);
});

test('the digest does not depend on the order of fields', () => {
  const text = createText({ note: 'x' });
  const reversed = JSON.stringify(
    Object.fromEntries(Object.entries(JSON.parse(text) as object).reverse()),
  );
  assert.equal(digestRelease(parseRelease(text)), digestRelease(parseRelease(reversed)));
});

test('prefixes agree up to the first difference', () => {
  const a = hashPrefixes('x'.repeat(2048) + 'y'.repeat(2048));
  const b = hashPrefixes('x'.repeat(2048) + 'z'.repeat(2048));
  assert.equal(a.length, 2);
  assert.equal(a[0], b[0]);
  assert.notEqual(a[1], b[1]);
});
