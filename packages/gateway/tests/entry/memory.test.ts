import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamRecord } from '@azurecart/discovery';
import { MemoryReservationGroup, EngineCommandClient } from '../../src/entry/memory/index.js';
import { UpstreamAgent } from '../../src/upstreams/index.js';
import { silentLogger } from '../control/ControlCluster.js';
import { formatResponse, ScriptedUpstream } from './ScriptedUpstream.js';
import type { Script } from './ScriptedUpstream.js';
import { createStatements, protocol } from './startEntry.js';

const granted: Script = (socket, request) => socket.write(formatResponse(request, '200 OK', '{}'));
const refused: Script = (socket, request) =>
  socket.write(formatResponse(request, '409 Conflict', '{}'));
const silent: Script = () => undefined;

/** Starts engines that respond by scripts, and gets functions to reserve their memory. */
async function startEngines(scripts: Script[]) {
  const engines = await Promise.all(scripts.map((script) => ScriptedUpstream.start(script)));
  const agent = new UpstreamAgent();
  const commandClient = new EngineCommandClient({
    protocol,
    agent,
    statements: createStatements(),
    logger: silentLogger,
  });
  const helpers = engines.map(({ address }, index) => ({
    upstream: { id: `e${index}`, bornAt: 1, address } as UpstreamRecord,
    heldTokens: 1000,
  }));
  const stop = (): void => {
    agent.destroy();
    engines.forEach((engine) => engine.stop());
  };
  const acquire = (): Promise<MemoryReservationGroup | undefined> =>
    MemoryReservationGroup.acquire({ helpers, commandClient, logger: silentLogger });
  const getCommands = (index: number): string[] =>
    (engines[index]?.received ?? []).map(
      ({ text }) => (JSON.parse(text.split('\r\n\r\n')[1] ?? '') as { kind: string }).kind,
    );
  return { engines, acquire, getCommands, stop };
}

test('a memory reservation is renewed while it is in use and then released', async () => {
  const { engines, acquire, getCommands, stop } = await startEngines([granted, granted]);
  const memory = await acquire();
  assert.ok(memory);
  assert.ok(memory.getTicket(engines[0]?.address ?? ''));
  // Longer than one renewal interval (1500 ms), shorter than two.
  await sleep(1700);
  memory.release();
  await sleep(100);
  assert.deepEqual(getCommands(0), ['reserve', 'reserve', 'release']);
  assert.deepEqual(getCommands(1), ['reserve', 'reserve', 'release']);
  stop();
});

test('if one engine refuses a reservation, those on the others are released', async () => {
  const { acquire, getCommands, stop } = await startEngines([granted, refused]);
  assert.equal(await acquire(), undefined);
  await sleep(100);
  assert.deepEqual(getCommands(0), ['reserve', 'release']);
  stop();
});

test('after an unanswered reservation, which may be executed late, releases are repeated', async () => {
  let count = 0;
  const { acquire, getCommands, stop } = await startEngines([
    (socket, request) => {
      count += 1;
      (count === 1 ? silent : granted)(socket, request);
    },
  ]);
  assert.equal(await acquire(), undefined);
  // At least four intervals between releases (400 ms each).
  await sleep(2300);
  const [first, ...others] = getCommands(0);
  assert.equal(first, 'reserve');
  assert.ok(others.length >= 4 && others.every((kind) => kind === 'release'));
  stop();
});

test('an unanswered release is repeated within a second', async () => {
  let isUnresponsive = false;
  const { acquire, getCommands, stop } = await startEngines([
    (socket, request) => (isUnresponsive ? silent : granted)(socket, request),
  ]);
  const memory = await acquire();
  isUnresponsive = true;
  memory?.release();
  // More than two intervals between releases (400 ms each).
  await sleep(1100);
  assert.ok(getCommands(0).filter((kind) => kind === 'release').length >= 2);
  stop();
});

test('a confirmed release is not repeated', async () => {
  const { acquire, getCommands, stop } = await startEngines([granted]);
  const memory = await acquire();
  memory?.release();
  await sleep(1000);
  assert.deepEqual(getCommands(0), ['reserve', 'release']);
  stop();
});

test('a prompt without helpers reserves no memory', async () => {
  const { acquire, getCommands, stop } = await startEngines([]);
  assert.ok(await acquire());
  assert.deepEqual(getCommands(0), []);
  stop();
});

// Guards against reading the response to a command without limit until its timeout.
test('a response to a command without end is cut off and counts as unanswered', async () => {
  const block = Buffer.alloc(65_536, 'x');
  const { engines, acquire, stop } = await startEngines([
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      const writeOn = (): void => {
        if (socket.destroyed) return;
        if (socket.write(block)) setImmediate(writeOn);
        else socket.once('drain', writeOn);
      };
      writeOn();
    },
  ]);
  try {
    const startedAt = performance.now();
    const memory = await acquire();
    memory?.release();
    assert.equal(memory === undefined, true);
    // Less than the timeout of a command (400 ms).
    assert.ok(performance.now() - startedAt < 350);
    await sleep(100);
    // Releases follow, each on a connection of its own, which is cut off as well.
    const { closed, sentBytes } = engines[0] ?? { closed: 0, sentBytes: 0 };
    assert.ok(closed >= 1);
    assert.ok(sentBytes < 20 * 1024 * 1024, `${sentBytes} bytes were sent`);
  } finally {
    stop();
  }
});
