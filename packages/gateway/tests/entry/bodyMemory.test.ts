import assert from 'node:assert/strict';
import { request as openRequest } from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Route } from '../../src/configuration/index.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { startEntry } from './startEntry.js';
import type { TestEntry, TestEntryOptions } from './startEntry.js';

const MB = 1024 * 1024;
const BODY_BYTES = 4 * MB;
const ROUTE: Partial<Route> = { objectiveMs: 4000, timeoutMs: 6000, maxAttempts: 1 };
const OPTIONS: TestEntryOptions = { memoryBytes: 24 * MB, maxBodyBytes: BODY_BYTES };
const LARGE_COUNT = 60;

const answering: Script = (socket, request) => {
  // Later parts of a long body arrive without a head.
  if (request.headers.has('attempt')) socket.write(formatResponse(request, '200 OK', 'fine'));
};

/** Answers long bodies late, so that many are kept at the same time. */
const answeringLate: Script = (socket, request) => {
  const delayMs = request.headers.get('attempt') === 'short' ? 0 : 1500;
  setTimeout(() => answering(socket, request), delayMs);
};

/** Sends bytes that are no whole answer until the connection is closed. */
const endless: Script = (socket, request) => {
  if (request.headers.get('attempt') === 'short') {
    answering(socket, request);
    return;
  }
  const block = Buffer.alloc(65_536, 'x');
  const attempt = `attempt: ${request.headers.get('attempt') ?? ''}`;
  socket.write(['HTTP/1.1 200 OK', attempt, 'signed: yes'].join('\r\n'));
  socket.write('\r\n\r\n');
  const writeOn = (): void => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(writeOn);
    else socket.once('drain', writeOn);
  };
  writeOn();
};

interface Upload {
  status: number;
  retryAfter: string | undefined;
}

/**
 * Sends a body in parts; gets status 0 if the connection ends without an answer. With the header
 * `stalls`, the end of the body is never sent.
 */
function upload(
  entry: TestEntry,
  parts: Buffer[],
  headers: Record<string, string> = {},
): Promise<Upload> {
  return new Promise((resolve) => {
    const request = openRequest({
      host: '127.0.0.1',
      port: entry.port,
      method: 'POST',
      path: '/p/x',
      agent: false,
      headers: { host: 'a.example', attempt: 'long', key: 'good', deadline: '6000', ...headers },
    });
    request.on('error', () => resolve({ status: 0, retryAfter: undefined }));
    request.on('response', (response) => {
      response.resume();
      const status = response.statusCode ?? 0;
      response.on('end', () => resolve({ status, retryAfter: response.headers['retry-after'] }));
      response.on('error', () => resolve({ status: 0, retryAfter: undefined }));
    });
    const writeParts = async (): Promise<void> => {
      for (const part of parts) {
        if (request.destroyed) return;
        if (!request.write(part)) await sleep(2);
      }
      if (!headers.stalls) request.end();
    };
    writeParts();
  });
}

function split(byteCount: number, partBytes: number): Buffer[] {
  return Array.from({ length: byteCount / partBytes }, () => Buffer.alloc(partBytes, 'x'));
}

/** Runs with an entry process, and gets the growth of this process's memory in bytes at its peak. */
async function measure(
  script: Script,
  run: (entry: TestEntry) => Promise<void>,
): Promise<{ peakBytes: number }> {
  const upstream = await ScriptedUpstream.start(script);
  const entry = await startEntry([upstream], ROUTE, OPTIONS);
  const startBytes = process.memoryUsage().rss;
  let peakBytes = 0;
  const timer = setInterval(() => {
    peakBytes = Math.max(peakBytes, process.memoryUsage().rss - startBytes);
    // The stand-in is not to keep the bodies itself.
    upstream.received.length = 0;
  }, 10);
  try {
    await run(entry);
    return { peakBytes };
  } finally {
    clearInterval(timer);
    entry.stop();
  }
}

// Guards against the sum of bodies that a faulty upstream sends without end.
test('endless answers to many requests at once stay within the memory for them', async () => {
  const { peakBytes } = await measure(endless, async (entry) => {
    const long = Array.from({ length: LARGE_COUNT }, () => upload(entry, [Buffer.from('x')]));
    await sleep(300);
    assert.equal((await upload(entry, [Buffer.from('x')], { attempt: 'short' })).status, 200);
    for (const { status } of await Promise.all(long)) assert.ok([502, 504].includes(status));
  });
  assert.ok(peakBytes < 200 * MB, `${Math.round(peakBytes / MB)} MB`);
});

// Guards against the sum of bodies that clients send at the same time.
test('long bodies beyond the memory for them wait or are rejected as not run', async () => {
  let mostBytes = 0;
  let mostWaiting = 0;
  await measure(answeringLate, async (entry) => {
    const timer = setInterval(() => {
      mostBytes = Math.max(mostBytes, entry.requestMemory.usedBytes);
      mostWaiting = Math.max(mostWaiting, entry.requestMemory.waitingCount);
    }, 1);
    const parts = split(BODY_BYTES, 65_536);
    const length = { 'content-length': String(BODY_BYTES) };
    const long = Array.from({ length: LARGE_COUNT }, () => upload(entry, parts, length));
    await sleep(100);
    const startedAt = performance.now();
    assert.equal((await upload(entry, [Buffer.from('x')], { attempt: 'short' })).status, 200);
    assert.ok(performance.now() - startedAt < 2000);
    const answers = await Promise.all(long);
    clearInterval(timer);
    for (const { status, retryAfter } of answers) {
      assert.ok([200, 408, 503, 504].includes(status), `status ${status}`);
      assert.ok(status !== 503 || Number(retryAfter) > 0);
    }
    assert.ok(answers.some(({ status }) => status === 200));
    assert.equal(entry.requestMemory.usedBytes, 0);
  });
  assert.ok(mostBytes <= (OPTIONS.memoryBytes ?? 0), `${mostBytes} bytes`);
  assert.ok(mostWaiting > 0);
});

// Guards against memory that is held for ever for clients which begin a body and fall silent.
test('a body that does not arrive within the time limit is given up, and its memory freed', async () => {
  await measure(answering, async (entry) => {
    const headers = { 'content-length': String(BODY_BYTES), deadline: '500' };
    const stalled = Array.from({ length: 4 }, () =>
      upload(entry, [...split(2 * 65_536, 65_536)], { ...headers, stalls: 'yes' }),
    );
    await sleep(250);
    assert.ok(entry.requestMemory.usedBytes > 4 * MB);
    for (const { status } of await Promise.all(stalled)) assert.equal(status, 408);
    assert.equal(entry.requestMemory.usedBytes, 0);
    assert.equal((await upload(entry, [Buffer.from('x')])).status, 200);
  });
});
