import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { countDescriptors, Crowd, getPeakResidentMb } from '../src/harness/index.js';
import type { ChildProcess, CrowdBehaviour } from '../src/harness/index.js';
import { sendPrompt, startFleet } from './startFleet.js';
import { startGateway, waitFor } from './startGateway.js';
import type { TestGateway } from './startGateway.js';

/** Memory limit of each process in its settings; also the bound on its resident memory. */
const MEMORY_MB = 200;
const HEAP_MB = 96;
/** Bound on the resident memory of an entry process of the daemon, which has a thread beside it. */
const DAEMON_MEMORY_MB = 300;
/** Descriptor limit of each process in its settings; also the bound on its descriptors. */
const MAX_DESCRIPTORS = 300;
const FLOODING_CLIENTS = 40;
const SLOW_CLIENTS = 600;
const CROWD_MS = 5000;
const SAMPLE_INTERVAL_MS = 50;
const NODE_ARGUMENTS = [`--max-old-space-size=${HEAP_MB}`];

const HOST = 'Host: a.example\r\n';
const CHAT_HEAD = [
  'POST /p/x HTTP/1.1\r\n',
  HOST,
  'Authorization: Token secret-key\r\n',
  'X-Attempt-Id: att-1\r\n',
  'X-Model: m\r\n',
  'X-Token-Usage: 100,80\r\n',
  'X-Deadline-Ms: 10000\r\n',
].join('');

const CHATS: CrowdBehaviour = { flood: `${CHAT_HEAD}Content-Length: 0\r\n\r\n` };
const BARE_REQUESTS: CrowdBehaviour = { flood: `GET /p/x HTTP/1.1\r\n${HOST}\r\n` };
const UNROUTED_REQUESTS: CrowdBehaviour = { flood: `GET / HTTP/1.1\r\n${HOST}\r\n` };
const HOSTLESS_REQUESTS: CrowdBehaviour = { flood: 'GET / HTTP/1.1\r\n\r\n' };
const ENDLESS_HEADS: CrowdBehaviour = { head: `GET / HTTP/1.1\r\n${HOST}`, drip: 'x: y\r\n' };
const TINY_BODIES: CrowdBehaviour = {
  head: `${CHAT_HEAD}Content-Length: 60000\r\n\r\n`,
  drip: ' ',
};
const TINY_CHUNKS: CrowdBehaviour = {
  head: `${CHAT_HEAD}Transfer-Encoding: chunked\r\n\r\n`,
  flood: '1\r\n \r\n',
};
const SILENCE: CrowdBehaviour = {};
const UPGRADES: CrowdBehaviour = {
  flood: `GET / HTTP/1.1\r\n${HOST}Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n`,
};
const EXPECTATIONS: CrowdBehaviour = {
  flood: `GET / HTTP/1.1\r\n${HOST}Expect: nonsense\r\n\r\n`,
};
const CONTINUES: CrowdBehaviour = {
  flood: `POST / HTTP/1.1\r\n${HOST}Expect: 100-continue\r\nContent-Length: 0\r\n\r\n`,
};
const TUNNELS: CrowdBehaviour = { flood: `CONNECT a:1 HTTP/1.1\r\n${HOST}\r\n` };
const UNKNOWN_METHODS: CrowdBehaviour = { flood: `BREW / HTTP/1.1\r\n${HOST}\r\n` };
const PREFACES: CrowdBehaviour = { flood: 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' };

interface Attack {
  behaviour: CrowdBehaviour;
  connections: number;
}

const flood = (behaviour: CrowdBehaviour, connections = FLOODING_CLIENTS): Attack => ({
  behaviour,
  connections,
});
const slow = (behaviour: CrowdBehaviour, connections = SLOW_CLIENTS): Attack => ({
  behaviour,
  connections,
});

/** Lets crowds attack a process, then expects it to be sound and to answer while they still wait. */
async function attack(
  target: ChildProcess,
  address: string,
  attacks: Attack[],
  isAnswered: () => Promise<boolean>,
  { maxResidentMb = MEMORY_MB, maxDescriptors = MAX_DESCRIPTORS } = {},
): Promise<void> {
  const { pid = 0 } = target;
  const crowds = attacks.map(
    ({ behaviour, connections }) => new Crowd({ address, behaviour, connections }),
  );
  let peakDescriptors = 0;
  let peakResidentMb = 0;
  try {
    crowds.forEach((crowd) => crowd.start());
    const endAt = performance.now() + CROWD_MS;
    while (performance.now() < endAt && target.isRunning) {
      await sleep(SAMPLE_INTERVAL_MS);
      const [descriptors, residentMb] = await Promise.all([
        countDescriptors(pid).catch(() => 0),
        getPeakResidentMb(pid).catch(() => 0),
      ]);
      peakDescriptors = Math.max(peakDescriptors, descriptors);
      peakResidentMb = Math.max(peakResidentMb, residentMb);
    }
    crowds.forEach((crowd) => crowd.pause());
    const usage = `${Math.round(peakResidentMb)} MB, ${peakDescriptors} descriptors`;
    assert.ok(target.isRunning, `the process ended: ${usage}`);
    assert.ok(peakResidentMb <= maxResidentMb && peakDescriptors <= maxDescriptors, usage);
    await waitFor(isAnswered);
    assert.equal(target.unexpectedExits, 0);
  } finally {
    crowds.forEach((crowd) => crowd.stop());
  }
}

async function withGateway(run: (gateway: TestGateway) => Promise<void>): Promise<void> {
  const gateway = await startGateway('crowd', 2, {
    nodeArguments: NODE_ARGUMENTS,
    settings: { memoryMb: MEMORY_MB, maxDescriptors: MAX_DESCRIPTORS },
  });
  try {
    await run(gateway);
  } finally {
    await gateway.stop();
  }
}

async function isOk(url: string): Promise<boolean> {
  const response = await fetch(url).catch(() => undefined);
  return response?.ok ?? false;
}

/** Lets crowds attack the address for clients of an entry process. */
function attackFront(attacks: Attack[]): Promise<void> {
  return withGateway(({ entry, frontAddress, send }) =>
    attack(entry, frontAddress, attacks, async () => {
      const response = await send(10).catch(() => undefined);
      return response?.status === 200 && response.isComplete;
    }),
  );
}

test('chats sent ahead', () => attackFront([flood(CHATS)]));

test('requests sent ahead without the usual headers', () => attackFront([flood(BARE_REQUESTS)]));

test('requests sent ahead to no route', () => attackFront([flood(UNROUTED_REQUESTS)]));

test('requests sent ahead without a host', () => attackFront([flood(HOSTLESS_REQUESTS)]));

test('heads that never end', () => attackFront([slow(ENDLESS_HEADS)]));

test('bodies of one byte at a time', () => attackFront([slow(TINY_BODIES)]));

test('chunks of one byte without end', () => attackFront([flood(TINY_CHUNKS)]));

test('connections that say nothing', () => attackFront([slow(SILENCE)]));

test('upgrades, tunnels and unknown methods', () =>
  attackFront([
    flood(UPGRADES, 20),
    flood(EXPECTATIONS, 20),
    flood(CONTINUES, 20),
    flood(TUNNELS, 20),
    flood(UNKNOWN_METHODS, 20),
    flood(PREFACES, 20),
  ]));

test('all kinds of abuse at once', () =>
  attackFront([
    flood(CHATS, 20),
    flood(BARE_REQUESTS, 20),
    flood(UNROUTED_REQUESTS, 20),
    flood(HOSTLESS_REQUESTS, 20),
    flood(TINY_CHUNKS, 20),
    flood(UPGRADES, 20),
    flood(EXPECTATIONS, 20),
    flood(TUNNELS, 20),
    slow(ENDLESS_HEADS, 100),
    slow(TINY_BODIES, 100),
    slow(SILENCE, 300),
  ]));

test('abuse of the address for health checks and metrics', () =>
  withGateway(({ entry, readinessAddress }) =>
    attack(
      entry,
      readinessAddress,
      [
        flood({ flood: `GET /metrics HTTP/1.1\r\n${HOST}\r\n` }),
        flood(UNROUTED_REQUESTS),
        slow(SILENCE),
      ],
      () => isOk(`http://${readinessAddress}/api/readyz`),
    ),
  ));

test('abuse of the address for operators', () =>
  withGateway(({ control, operatorAddress }) =>
    attack(
      control,
      operatorAddress,
      [
        flood({ flood: `GET /api/config HTTP/1.1\r\n${HOST}\r\n` }),
        flood({
          head: `PUT /api/config HTTP/1.1\r\n${HOST}Content-Length: 16000000\r\n\r\n`,
          flood: ' ',
        }),
        slow(ENDLESS_HEADS),
      ],
      () => isOk(`http://${operatorAddress}/api/config`),
    ),
  ));

test('abuse of the address for clients of the daemon', async () => {
  const testFleet = await startFleet('crowd', {
    engineCount: 1,
    fleet: {
      controls: 1,
      entries: 1,
      nodeArguments: NODE_ARGUMENTS,
      entrySettings: { limits: { bufferedBytes: 32 * 1024 * 1024 } },
    },
  });
  const [entry] = testFleet.fleet.entries;
  const body = '{"model":"fitting-assist","prompt":"x","max_tokens":1}';
  const prompt = [
    'POST /v1/completions HTTP/1.1\r\n',
    HOST,
    'Authorization: Bearer key-planning\r\n',
    `Content-Length: ${body.length}\r\n\r\n${body}`,
  ].join('');
  try {
    assert.ok(entry);
    await attack(
      entry.process,
      new URL(entry.url).host,
      [
        flood({ flood: prompt }),
        flood({ flood: `GET /healthz HTTP/1.1\r\n${HOST}\r\n` }),
        flood({ flood: `GET /metrics HTTP/1.1\r\n${HOST}\r\n` }),
        flood(HOSTLESS_REQUESTS),
        flood(TINY_CHUNKS),
        slow(ENDLESS_HEADS),
      ],
      async () => (await sendPrompt(testFleet)).kind === 'whole',
      { maxResidentMb: DAEMON_MEMORY_MB, maxDescriptors: 4096 },
    );
  } finally {
    await testFleet.fleet.stop();
  }
});
