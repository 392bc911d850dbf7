import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { sendPrompt, startFleet } from './startFleet.js';
import type { TestFleet } from './startFleet.js';

let testFleet: TestFleet;

before(async () => {
  testFleet = await startFleet('bad', {
    engineCount: 1,
    fleet: {
      controls: 1,
      entrySettings: {
        logLevel: 'error',
        limits: { bodyBytes: 100_000, bodyTimeoutMs: 1000, headerTimeoutMs: 1000 },
      },
    },
  });
});

after(() => testFleet.fleet.stop());

async function post(body: string, headers: Record<string, string> = {}, path = '/v1/completions') {
  const url = testFleet.fleet.entryUrls[0] ?? '';
  const response = await fetch(`${url}${path}`, {
    method: 'POST',
    body,
    headers: { authorization: 'Bearer key-planning', ...headers },
  });
  const { error } = (await response.json()) as { error: Record<string, string> };
  return {
    status: response.status,
    code: error.code,
    outcome: error.outcome,
    headers: response.headers,
  };
}

/** Sends raw text over TCP and gets the status line of the response. */
function sendRaw(text: string): Promise<string> {
  return new Promise((resolve) => {
    const port = Number(new URL(testFleet.fleet.entryUrls[0] ?? '').port);
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    let responseText = '';
    socket.on('data', (chunk) => {
      responseText += chunk.toString();
    });
    socket.on('close', () => resolve(responseText.split('\r\n')[0] ?? ''));
    socket.on('error', () => resolve('error'));
  });
}

const createPromptBody = (changes: Record<string, unknown> = {}): string =>
  JSON.stringify({ model: 'fitting-assist', prompt: 'x', max_tokens: 1, ...changes });

test('malformed JSON is rejected', async () => {
  const { status, code, outcome } = await post('{"model"');
  assert.deepEqual([status, code, outcome], [400, 'invalid_body', 'not-run']);
});

test('a prompt that is not a string is rejected', async () => {
  assert.equal((await post(createPromptBody({ prompt: 7 }))).code, 'invalid_body');
});

test('an unknown model is rejected', async () => {
  assert.equal((await post(createPromptBody({ model: 'none' }))).status, 404);
});

test('an unknown API key is rejected', async () => {
  assert.equal((await post(createPromptBody(), { authorization: 'Bearer none' })).status, 401);
});

test('a missing API key is rejected', async () => {
  assert.equal((await post(createPromptBody(), { authorization: '' })).code, 'invalid_api_key');
});

test('a body over the size limit is rejected', async () => {
  assert.equal((await post(createPromptBody({ prompt: 'x'.repeat(100_001) }))).status, 413);
});

test('a max_tokens value beyond the context length is rejected', async () => {
  assert.equal(
    (await post(createPromptBody({ max_tokens: 2_000_000 }))).code,
    'context_length_exceeded',
  );
});

test('an unknown priority is rejected', async () => {
  assert.equal((await post(createPromptBody(), { 'azurecart-priority': 'now' })).status, 400);
});

test('a deadline that is not a number is rejected', async () => {
  assert.equal((await post(createPromptBody(), { 'azurecart-deadline-ms': 'soon' })).status, 400);
});

test('a deadline that cannot be met is refused as not run', async () => {
  const refusal = await post(createPromptBody({ max_tokens: 500 }), {
    'azurecart-deadline-ms': '100',
  });
  assert.deepEqual([refusal.status, refusal.outcome], [503, 'not-run']);
});

test('an unknown path is rejected', async () => {
  assert.equal((await post(createPromptBody(), {}, '/v2/none')).status, 404);
});

test('an idempotency key over the length limit is rejected', async () => {
  const headers = { 'idempotency-key': 'k'.repeat(300) };
  assert.equal((await post('{}', headers, '/work-orders/shutoffs')).status, 400);
});

test('an announcement with a wrong secret is rejected', async () => {
  assert.equal((await post('{}', {}, '/upstream/v1/announce')).status, 401);
});

test('a malformed announcement is rejected', async () => {
  const headers = { authorization: 'Bearer upstream-secret' };
  assert.equal((await post('{"id":1}', headers, '/upstream/v1/announce')).status, 400);
});

test('headers over the size limit are rejected', async () => {
  const headers = `x: ${'y'.repeat(20_000)}\r\n`;
  assert.match(await sendRaw(`GET /healthz HTTP/1.1\r\nhost: a\r\n${headers}\r\n`), /431/);
});

test('a body that stalls before its declared length times out', async () => {
  const head = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-planning\r\n';
  const status = await sendRaw(`${head}content-length: 100\r\n\r\n{"model"`);
  // `readBody` destroys the connection after the body timeout, so there may be no response.
  assert.match(status, /408|^$/);
});

test('a body longer than its declared length is rejected', async () => {
  const head = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-planning\r\n';
  const status = await sendRaw(
    `${head}connection: close\r\ncontent-length: 5\r\n\r\n${createPromptBody()}`,
  );
  assert.match(status, /400/);
});

test('a header that is never completed times out', async () => {
  assert.match(await sendRaw('GET /healthz HTTP/1.1\r\nhost: a\r\nx: '), /408/);
});

test('a valid request is served after the invalid ones', async () => {
  assert.equal((await sendPrompt(testFleet)).kind, 'whole');
});
