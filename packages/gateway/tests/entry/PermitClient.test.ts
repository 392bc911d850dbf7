import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Permit } from '@azurecart/scheduling';
import { LinkPool } from '../../src/control/LinkPool.js';
import { METHODS } from '../../src/control/messages.js';
import { ClusterView } from '../../src/entry/ClusterView.js';
import { PermitClient } from '../../src/entry/PermitClient.js';
import { SchedulerSelector } from '../../src/entry/SchedulerSelector.js';
import { RoutingTable } from '../../src/configuration/index.js';
import { LinkServer } from '../../src/links/index.js';
import type { CallHandler, Link } from '../../src/links/index.js';
import { getFreePort, silentLogger, versionCodec } from '../control/ControlCluster.js';

const ENTRIES = 8;
const LIMIT = 4;
const COLD_PER_SECOND = 26;
/** Draws a turn if this process has at least two fifths of one in a second. */
const RANDOM = 0.4;
const REQUEST = { upstreams: ['u'], priority: 0, waitMs: 0 };
const NEVER = new AbortController().signal;

/** Starts a client with two schedulers, whose permits are given by `respond`. */
async function startClient(respond: () => unknown) {
  const received: string[][] = [];
  const servers: LinkServer[] = [];
  const members: string[] = [];
  for (let index = 0; index < 2; index += 1) {
    const port = await getFreePort();
    const messages: string[] = [];
    const handlers = new Map<string, CallHandler>([
      [
        METHODS.permit,
        () => {
          messages.push(METHODS.permit);
          return respond();
        },
      ],
    ]);
    const onLink = (link: Link): void => {
      link.subscribe(({ method }) => messages.push(method));
    };
    const server = new LinkServer({ host: '127.0.0.1', port, handlers, onLink });
    await server.start();
    servers.push(server);
    received.push(messages);
    members.push(`127.0.0.1:${port}`);
  }
  const clock = { now: 0 };
  const view = new ClusterView({ codec: versionCodec, logger: silentLogger });
  view.findings.recordLimit('u', 1, LIMIT);
  view.updateCluster({ members, leader: members[0] ?? null, term: 1, entries: ENTRIES });
  const linkPool = new LinkPool({ ownAddress: '', handlers: new Map(), onOpen: () => undefined });
  linkPool.retain(members);
  while (members.some((address) => !linkPool.getLink(address).current)) await sleep(5);
  const schedulers = new SchedulerSelector({ view, linkPool });
  const permits = new PermitClient({
    view,
    schedulers,
    logger: silentLogger,
    now: () => clock.now,
    random: () => RANDOM,
  });
  const stop = (): void => {
    linkPool.stop();
    servers.forEach((server) => server.stop());
  };
  return { permits, received, clock, view, stop };
}

test('the leader grants, and the standby learns of it', async () => {
  const { permits, received, stop } = await startClient(() => ({ kind: 'granted', upstream: 'u' }));
  try {
    assert.equal((await permits.acquire(REQUEST, NEVER)).kind, 'granted');
    await sleep(50);
    assert.deepEqual(received, [[METHODS.permit], [METHODS.sent]]);
  } finally {
    stop();
  }
});

test('a refusal of the scheduler is final', async () => {
  const refusal: Permit = { kind: 'refused', retryAfterMs: 700 };
  const { permits, received, stop } = await startClient(() => refusal);
  try {
    assert.deepEqual(await permits.acquire(REQUEST, NEVER), refusal);
    assert.deepEqual(received, [[METHODS.permit], []]);
  } finally {
    stop();
  }
});

// Guards against entry processes that each use the whole limit while no scheduler answers.
test('without a scheduler a process uses only its part of a share of the limit', async () => {
  const { permits, clock, stop } = await startClient(() => {
    throw new Error('not leading');
  });
  try {
    let granted = 0;
    for (; clock.now < 40_000; clock.now += 100)
      granted += Number((await permits.acquire(REQUEST, NEVER)).kind === 'granted');
    const part = (LIMIT * 40) / ENTRIES;
    assert.ok(granted >= 0.3 * part && granted <= 0.5 * part, `${granted} of ${part}`);
  } finally {
    stop();
  }
});

test('a request that is aborted does not wait for its permit', async () => {
  const { permits, stop } = await startClient(() => sleep(5000));
  try {
    const controller = new AbortController();
    setTimeout(() => controller.abort(), 50);
    const startedAt = performance.now();
    const patient = { ...REQUEST, waitMs: 4000 };
    assert.equal((await permits.acquire(patient, controller.signal)).kind, 'refused');
    assert.ok(performance.now() - startedAt < 1000);
  } finally {
    stop();
  }
});

/** Makes an upstream known whose service states what a cold one bears. */
function addColdUpstream(view: ClusterView, coldMs: number): void {
  const configuration = versionCodec.decode(Buffer.from('1'));
  const coldRequestsPerSecond = COLD_PER_SECOND;
  configuration.services.push({
    name: 's',
    healthPath: '/',
    maxConnections: 9,
    coldRequestsPerSecond,
  });
  Object.assign(view, { routing: new RoutingTable(configuration) });
  view.upstreamTable.merge({
    id: 'c',
    bornAt: 1,
    sequence: 1,
    service: 's',
    address: '10.0.0.1:80',
    dataCentre: 'd',
    capacity: 8,
    state: 'ready',
    coldMs,
  });
}

test('a cold upstream needs a permit, a warm one does not', async () => {
  const { permits, view, stop } = await startClient(() => ({ kind: 'granted', upstream: 'c' }));
  try {
    addColdUpstream(view, 0);
    assert.ok(!permits.isLimited('c'));
    view.mergeUpstreams({
      records: view.upstreamTable
        .getRecords()
        .map((record) => ({ ...record, sequence: 2, coldMs: 3000, ageMs: 10 })),
    });
    assert.ok(permits.isLimited('c'));
    const request = { ...REQUEST, upstreams: ['c'] };
    assert.equal((await permits.acquire(request, NEVER)).kind, 'granted');
  } finally {
    stop();
  }
});

// Guards against entry processes that save up turns at a cold upstream and use them together.
test('without a scheduler a cold upstream gets this process its part in each second at most', async () => {
  const { permits, clock, view, stop } = await startClient(() => {
    throw new Error('not leading');
  });
  try {
    addColdUpstream(view, 60_000);
    const request = { ...REQUEST, upstreams: ['c'] };
    clock.now = 30_000;
    let granted = 0;
    for (let attempt = 0; attempt < 40; attempt += 1)
      granted += Number((await permits.acquire(request, NEVER)).kind === 'granted');
    const part = (COLD_PER_SECOND * 0.4) / ENTRIES;
    assert.equal(granted, Math.floor(part));
  } finally {
    stop();
  }
});
