import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { RefusalLog } from '../../src/entry/RefusalLog.js';

// Guards against a client that fills the log with what it is refused.
test('refusals beyond a number are logged as counts', async () => {
  const lines: unknown[][] = [];
  const logger = { info: (...line: unknown[]) => lines.push(line) };
  const log = new RefusalLog({ logger: logger as never, maxLines: 2, intervalMs: 20 });
  for (let index = 0; index < 10; index += 1)
    log.record({ request: `${index}`, status: index < 5 ? 401 : 404, reason: 'r' });
  await sleep(60);
  assert.deepEqual(lines, [
    [{ request: '0', status: 401, reason: 'r' }, 'request refused'],
    [{ request: '1', status: 401, reason: 'r' }, 'request refused'],
    [{ statuses: { 401: 3, 404: 5 } }, 'further requests refused'],
  ]);
});
