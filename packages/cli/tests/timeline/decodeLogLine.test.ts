import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { decodeLogLine } from '../../src/timeline/decodeLogLine.js';
import { readEvents } from '../../src/timeline/readEvents.js';

const LINE = {
  name: 'entry',
  vm: 'edge-1',
  hostname: 'edge-1',
  pid: 7,
  level: 30,
  request: 'abc',
  upstream: 'i-1',
  version: 4,
  outcome: 'unknown',
  status: 502,
  msg: 'request ended',
  time: '2026-05-04T07:31:40.020Z',
  v: 0,
};

test('a log line is converted to an event', () => {
  const event = decodeLogLine(LINE, 3);
  assert.deepEqual(event, {
    at: `00${Date.parse(LINE.time)}.000003`,
    process: 'entry@edge-1',
    vm: 'edge-1',
    kind: 'request ended',
    request: 'abc',
    upstream: 'i-1',
    release: 4,
    detail: 'outcome unknown, status 502',
  });
});

test('lines logged in the same millisecond keep their order', () => {
  const first = decodeLogLine(LINE, 9)?.at ?? '';
  const second = decodeLogLine(LINE, 10)?.at ?? '';
  assert.ok(first < second);
});

test('a value that is not a log line yields undefined', () => {
  assert.equal(decodeLogLine({ at: '1', kind: 'x' }, 0), undefined);
  assert.equal(decodeLogLine('text', 0), undefined);
});

test('log lines truncated by a crash are skipped', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'azurecart-'));
  const file = join(folder, 'log');
  // A crash truncated the second line, and the restarted process appended to it.
  await writeFile(file, `${JSON.stringify(LINE)}\n{"na{"name"\n${JSON.stringify(LINE)}\n{"name":`);
  const [events] = await readEvents([file]);
  assert.equal(events?.length, 2);
  await rm(folder, { recursive: true });
});
