import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { BodyBudget, PromptInspector } from '../../src/entry/clients/index.js';

const inspector = new PromptInspector({ inlineBytes: 1000, threads: 1 });

after(() => inspector.close());

function createBody(text: string): Buffer {
  const bytes = Buffer.from(JSON.stringify({ model: 'm', prompt: text, max_tokens: 7 }));
  const body = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(body);
  return body;
}

test('parses a short prompt and estimates its tokens', async () => {
  const { summary } = await inspector.inspect(createBody('x'.repeat(400)));
  assert.deepEqual([summary.promptTokens, summary.maxTokens, summary.isStreamed], [100, 7, false]);
});

test('parses a long prompt on a worker thread and returns its body unchanged', async () => {
  const body = createBody('y'.repeat(4_000_000));
  const copy = Buffer.from(body);
  const inspected = await inspector.inspect(body);
  assert.equal(inspected.summary.promptTokens, 1_000_000);
  // Highest number of prefixes that are hashed.
  assert.equal(inspected.summary.prefixes.length, 64);
  assert.ok(inspected.body.equals(copy));
});

test('rejects a long body that is not JSON', async () => {
  const body = Buffer.allocUnsafeSlow(2000).fill('{');
  await assert.rejects(inspector.inspect(body), /not JSON/);
});

test('limits the total size of the bodies held', () => {
  const budget = new BodyBudget(100);
  const release = budget.acquire(60);
  assert.equal(budget.acquire(60), undefined);
  release?.();
  release?.();
  assert.equal(budget.heldBytes, 0);
  assert.ok(budget.acquire(100));
});
