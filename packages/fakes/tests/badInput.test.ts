import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { ask, startFleet } from './startFleet.js';
import type { TestFleet } from './startFleet.js';

let running: TestFleet;

before(async () => {
  running = await startFleet('bad', {
    engines: 1,
    fleet: {
      controls: 1,
      entrySettings: {
        logLevel: 'error',
        limits: { bodyBytes: 100_000, bodyTimeoutMs: 1000, headerTimeoutMs: 1000 },
      },
    },
  });
});

after(() => running.fleet.stop());

async function post(body: string, headers: Record<string, string> = {}, path = '/v1/completions') {
  const url = running.fleet.entryUrls[0] ?? '';
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

/** Sends raw bytes and gets the status line. */
function sendRaw(text: string): Promise<string> {
  return new Promise((resolve) => {
    const port = Number(new URL(running.fleet.entryUrls[0] ?? '').port);
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    let answer = '';
    socket.on('data', (chunk) => {
      answer += chunk.toString();
    });
    socket.on('close', () => resolve(answer.split('\r\n')[0] ?? ''));
    socket.on('error', () => resolve('error'));
  });
}

const prompt = (changes: Record<string, unknown> = {}): string =>
  JSON.stringify({ model: 'fitting-assist', prompt: 'x', max_tokens: 1, ...changes });

test('malformed JSON', async () => {
  const { status, code, outcome } = await post('{"model"');
  assert.deepEqual([status, code, outcome], [400, 'invalid_body', 'not-run']);
});

test('bytes that are not UTF-8', async () => {
  assert.equal((await post(prompt({ prompt: 7 }))).code, 'invalid_body');
});

test('an unknown model', async () => {
  assert.equal((await post(prompt({ model: 'none' }))).status, 404);
});

test('a wrong key', async () => {
  assert.equal((await post(prompt(), { authorization: 'Bearer none' })).status, 401);
});

test('a missing key', async () => {
  assert.equal((await post(prompt(), { authorization: '' })).code, 'invalid_api_key');
});

test('a body over the limit is refused by its header', async () => {
  assert.equal((await post(prompt({ prompt: 'x'.repeat(100_001) }))).status, 413);
});

test('an answer longer than the model takes', async () => {
  assert.equal((await post(prompt({ max_tokens: 2_000_000 }))).code, 'context_length_exceeded');
});

test('a priority that does not exist', async () => {
  assert.equal((await post(prompt(), { 'azurecart-priority': 'now' })).status, 400);
});

test('a deadline that is no number', async () => {
  assert.equal((await post(prompt(), { 'azurecart-deadline-ms': 'soon' })).status, 400);
});

test('a deadline that cannot be kept is refused as not run', async () => {
  const refusal = await post(prompt({ max_tokens: 500 }), { 'azurecart-deadline-ms': '100' });
  assert.deepEqual([refusal.status, refusal.outcome], [503, 'not-run']);
});

test('a path that does not exist', async () => {
  assert.equal((await post(prompt(), {}, '/v2/none')).status, 404);
});

test('an idempotency key that is too long', async () => {
  const headers = { 'idempotency-key': 'k'.repeat(300) };
  assert.equal((await post('{}', headers, '/work-orders/shutoffs')).status, 400);
});

test('an announcement with a wrong secret', async () => {
  assert.equal((await post('{}', {}, '/upstream/v1/announce')).status, 401);
});

test('a malformed announcement', async () => {
  const headers = { authorization: 'Bearer upstream-secret' };
  assert.equal((await post('{"id":1}', headers, '/upstream/v1/announce')).status, 400);
});

test('a header flood', async () => {
  const headers = `x: ${'y'.repeat(20_000)}\r\n`;
  assert.match(await sendRaw(`GET /healthz HTTP/1.1\r\nhost: a\r\n${headers}\r\n`), /431/);
});

test('a body that stops half way', async () => {
  const head = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-planning\r\n';
  const status = await sendRaw(`${head}content-length: 100\r\n\r\n{"model"`);
  assert.match(status, /408|^$/);
});

test('a body longer than declared', async () => {
  const head = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-planning\r\n';
  const status = await sendRaw(`${head}connection: close\r\ncontent-length: 5\r\n\r\n${prompt()}`);
  assert.match(status, /400/);
});

test('a header that never ends', async () => {
  assert.match(await sendRaw('GET /healthz HTTP/1.1\r\nhost: a\r\nx: '), /408/);
});

test('a good request is served after all this', async () => {
  assert.equal((await ask(running)).kind, 'whole');
});
