import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineDecision } from '@azurecart/scheduling';
import { Mesh } from '../../src/control/Mesh.js';
import { METHODS } from '../../src/control/messages.js';
import { EngineKinds } from '../../src/entry/EngineKinds.js';
import { LeastLoadedPlacer } from '../../src/entry/LeastLoadedPlacer.js';
import type { PlacementRequest } from '../../src/entry/Placement.js';
import { ScheduledPlacer } from '../../src/entry/ScheduledPlacer.js';
import { Schedulers } from '../../src/entry/Schedulers.js';
import { StartGate } from '../../src/entry/StartGate.js';
import { UpstreamHealth } from '../../src/entry/UpstreamHealth.js';
import { View } from '../../src/entry/View.js';
import { LinkServer } from '../../src/links/index.js';
import type { CallHandler } from '../../src/links/index.js';
import { ENGINE } from '../samples.js';
import { getFreePort, silentLogger, versionCodec } from '../control/ControlCluster.js';
import { RoutingTable } from '../../src/configuration/index.js';

const PLACED = async (): Promise<EngineDecision> => ({
  kind: 'placed',
  engine: 'e',
  helpers: [],
  expectedMs: 50,
});

/** A control process as far as placing goes, and what it was told. */
class FakeScheduler {
  readonly told: string[] = [];

  answer = PLACED;

  private constructor(
    readonly address: string,
    private readonly server: LinkServer,
  ) {}

  static async start(): Promise<FakeScheduler> {
    const port = await getFreePort();
    const handlers = new Map<string, CallHandler>();
    const server = new LinkServer({
      host: '127.0.0.1',
      port,
      handlers,
      onLink: (link) =>
        link.received.subscribe(({ method }) => {
          scheduler.told.push(method);
        }),
    });
    const scheduler = new FakeScheduler(`127.0.0.1:${port}`, server);
    handlers.set(METHODS.place, () => {
      scheduler.told.push(METHODS.place);
      return scheduler.answer();
    });
    await server.start();
    return scheduler;
  }

  stop(): void {
    this.server.stop();
  }
}

const REQUEST: PlacementRequest = {
  requestId: 'r',
  service: 's',
  route: {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: 'stream',
    timeoutMs: 9000,
    objectiveMs: 800,
    pauseMs: 250,
    priority: 0,
    maxAttempts: 2,
    isPublic: true,
    isResumable: true,
    hasPrompt: true,
    backends: [],
  },
  promptTokens: 1000,
  answerTokens: 100,
  remainingMs: 9000,
  waitedMs: 0,
  priority: 0,
  customer: undefined,
  excluded: new Set(),
};

function createRouting(): RoutingTable {
  const configuration = versionCodec.decode(Buffer.from('1'));
  configuration.services.push({ name: 's', healthPath: '/', maxConnections: 9, engine: ENGINE });
  return new RoutingTable(configuration);
}

/** A placer that follows two schedulers, of which the first one leads. */
async function startPlacer() {
  const schedulers = [await FakeScheduler.start(), await FakeScheduler.start()] as const;
  const mesh = new Mesh({ self: '', handlers: new Map(), onOpen: () => undefined });
  const view = new View({ codec: versionCodec, logger: silentLogger });
  view.routing = createRouting();
  const record = { id: 'e', bornAt: 1, sequence: 1, service: 's', address: 'a:1', capacity: 4 };
  view.table.merge({ ...record, dataCentre: 'd', state: 'ready' });
  const members = schedulers.map(({ address }) => address);
  view.adoptCluster({ members, leader: members[0] ?? null, term: 1, entries: 1 });
  mesh.retain(members);
  while (members.some((address) => !mesh.getLink(address).current)) await sleep(5);
  const kinds = new EngineKinds(view);
  const fallback = new LeastLoadedPlacer({
    view,
    health: new UpstreamHealth(),
    kinds,
    gate: new StartGate({ openForMs: 0 }),
    dataCentre: 'd',
  });
  const placer = new ScheduledPlacer({
    view,
    schedulers: new Schedulers({ view, mesh }),
    kinds,
    fallback,
    dataCentre: 'd',
    logger: silentLogger,
  });
  const place = async () => {
    const placement = await placer.place(REQUEST, new AbortController().signal);
    assert.ok(placement.kind === 'placed');
    return placement;
  };
  const stop = (): void => {
    mesh.stop();
    schedulers.forEach((scheduler) => scheduler.stop());
  };
  return { schedulers, placer, place, view, kinds, members, stop };
}

const SILENCE = (): Promise<EngineDecision> => new Promise(() => {});

test('the leader decides and the standby follows', async () => {
  const { schedulers, placer, place, stop } = await startPlacer();
  const { upstream, jobId, isScheduled } = await place();
  assert.equal(isScheduled, true);
  const reservation = placer.reserve(REQUEST, upstream, jobId);
  reservation.addProgress();
  reservation.release('orderly');
  await sleep(50);
  assert.deepEqual(schedulers[0].told, [METHODS.place, METHODS.progress, METHODS.release]);
  assert.deepEqual(schedulers[1].told, [METHODS.adopt, METHODS.progress, METHODS.release]);
  stop();
});

test('the standby decides within an eighth of the objective when the leader is silent', async () => {
  const { schedulers, place, stop } = await startPlacer();
  schedulers[0].answer = SILENCE;
  const startedAt = performance.now();
  assert.equal((await place()).isScheduled, true);
  assert.ok(performance.now() - startedAt < REQUEST.route.objectiveMs / 8 + 50);
  await place();
  assert.equal(schedulers[0].told.filter((method) => method === METHODS.place).length, 1);
  stop();
});

test('an entry process decides alone when all schedulers are silent', async () => {
  const { schedulers, place, stop } = await startPlacer();
  schedulers.forEach((scheduler) => {
    // eslint-disable-next-line no-param-reassign -- The script of a fake.
    scheduler.answer = SILENCE;
  });
  assert.notEqual((await place()).isScheduled, true);
  stop();
});

test('a new leader is told of all jobs, and one that is not chosen any more forgets them', async () => {
  const { schedulers, place, view, members, stop } = await startPlacer();
  await place();
  view.adoptCluster({ members: [members[1] ?? ''], leader: members[1] ?? '', term: 2, entries: 1 });
  await place();
  await sleep(50);
  assert.ok(schedulers[0].told.includes(METHODS.release));
  assert.deepEqual(schedulers[1].told, [METHODS.adopt, METHODS.place]);
  stop();
});

test('a process that knows no leader does not hide the one that is known', async () => {
  const { view, members, stop } = await startPlacer();
  view.adoptCluster({ members, leader: null, term: 1, entries: 3 });
  assert.equal(view.cluster.value.leader, members[0]);
  assert.equal(view.cluster.value.entries, 3);
  stop();
});

test('alone, a long prompt keeps away from engines that answer short ones', async () => {
  const { kinds, stop } = await startPlacer();
  kinds.adopt({ service: 's', engines: ['e1', 'e2'] });
  const long = { ...REQUEST, promptTokens: 100_000 };
  assert.ok(kinds.getCost(long, 'e1') > kinds.getCost(long, 'e3'));
  assert.ok(kinds.getCost(REQUEST, 'e1') < kinds.getCost(REQUEST, 'e3'));
  stop();
});
