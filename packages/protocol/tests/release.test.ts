import assert from 'node:assert/strict';
import { test } from 'node:test';
import { digestRelease, hashPrefixes, parseRelease, ValidationError } from '../src/index.js';

const PRIORITY_POLICY = { minimumShare: 0, deadlineMs: 1000, firstTokenMs: 500 };

function createReleaseText(changes: Record<string, unknown> = {}): string {
  const priorities = { urgent: PRIORITY_POLICY, standard: PRIORITY_POLICY, batch: PRIORITY_POLICY };
  return JSON.stringify({ number: 1, follows: 0, priorities, ...changes });
}

function getValidationMessage(changes: Record<string, unknown>): string {
  try {
    parseRelease(createReleaseText(changes));
  } catch (error) {
    assert.ok(error instanceof ValidationError);
    return error.message;
  }
  return 'none';
}

test('defaults are filled in', () => {
  assert.equal(parseRelease(createReleaseText()).routing.longTokens, 32_000);
});

test('an unknown field is rejected', () => {
  assert.match(getValidationMessage({ models: [], modles: [] }), /modles/);
});

test('a release number that is not one more than follows is rejected', () => {
  assert.match(getValidationMessage({ number: 3, follows: 1 }), /number: must be 2/);
});

test('the error for a wrong type has the path, the expected type and the value', () => {
  assert.match(getValidationMessage({ note: 7 }), /note: expected string, found 7/);
});

test('a model that refers to an unknown pool is rejected', () => {
  const models = [{ name: 'm', version: '1', pool: 'none' }];
  assert.match(getValidationMessage({ models }), /models\.0\.pool: names no pool: none/);
});

test('a key hash shared by two customers is rejected', () => {
  const keyHashes = ['0'.repeat(64)];
  const customers = [
    { name: 'a', keyHashes },
    { name: 'b', keyHashes },
  ];
  assert.match(getValidationMessage({ customers }), /customers\.1\.keyHashes: a key stands twice/);
});

test('text that is not valid JSON is rejected', () => {
  assert.throws(() => parseRelease('{'), /release: not JSON/);
});

test('the digest does not depend on the order of fields', () => {
  const text = createReleaseText({ note: 'x' });
  const reversed = JSON.stringify(
    Object.fromEntries(Object.entries(JSON.parse(text) as object).reverse()),
  );
  assert.equal(digestRelease(parseRelease(text)), digestRelease(parseRelease(reversed)));
});

test('texts with a common prefix have the same hashes up to the first different block', () => {
  const a = hashPrefixes('x'.repeat(2048) + 'y'.repeat(2048));
  const b = hashPrefixes('x'.repeat(2048) + 'z'.repeat(2048));
  assert.equal(a.length, 2);
  assert.equal(a[0], b[0]);
  assert.notEqual(a[1], b[1]);
});
