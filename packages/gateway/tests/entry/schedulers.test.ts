import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineDecision } from '@azurecart/scheduling';
import { LinkPool } from '../../src/control/LinkPool.js';
import { METHODS } from '../../src/control/messages.js';
import { ShortPromptEngines } from '../../src/entry/ShortPromptEngines.js';
import { LeastLoadedPlacer } from '../../src/entry/LeastLoadedPlacer.js';
import { PermitClient } from '../../src/entry/PermitClient.js';
import type { PlacementRequest } from '../../src/entry/Placement.js';
import { ScheduledPlacer } from '../../src/entry/ScheduledPlacer.js';
import { SchedulerSelector } from '../../src/entry/SchedulerSelector.js';
import { StartupGate } from '../../src/entry/StartupGate.js';
import { UpstreamHealth } from '../../src/entry/UpstreamHealth.js';
import { ClusterView } from '../../src/entry/ClusterView.js';
import { LinkServer } from '../../src/links/index.js';
import type { CallHandler } from '../../src/links/index.js';
import { ENGINE } from '../samples.js';
import { createStatements } from './startEntry.js';
import { getFreePort, silentLogger, versionCodec } from '../control/ControlCluster.js';
import { RoutingTable } from '../../src/configuration/index.js';

const PLACED = async (): Promise<EngineDecision> => ({
  kind: 'placed',
  engine: 'e',
  helpers: [],
  expectedMs: 50,
});

/** The placement part of a control process; records the methods of the messages it receives. */
class FakeScheduler {
  readonly received: string[] = [];

  respond = PLACED;

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
        link.subscribe(({ method }) => {
          scheduler.received.push(method);
        }),
    });
    const scheduler = new FakeScheduler(`127.0.0.1:${port}`, server);
    handlers.set(METHODS.place, () => {
      scheduler.received.push(METHODS.place);
      return scheduler.respond();
    });
    await server.start();
    return scheduler;
  }

  stop(): void {
    this.server.stop();
  }
}

const REQUEST: PlacementRequest = {
  clientAttemptId: 'r',
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
    sendsPriority: true,
    backends: [],
  },
  promptTokens: 1000,
  maxOutputTokens: 100,
  remainingMs: 9000,
  waitedMs: 0,
  priority: 0,
  customer: undefined,
  parts: [],
  excluded: new Set(),
};

function createRouting(): RoutingTable {
  const configuration = versionCodec.decode(Buffer.from('1'));
  configuration.services.push({ name: 's', healthPath: '/', maxConnections: 9, engine: ENGINE });
  return new RoutingTable(configuration);
}

const WAIT_TIMEOUT_MS = 15_000;

async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error('timed out waiting for a condition');
    await sleep(5);
  }
}

/**
 * Starts a placer with two schedulers, of which the first one is the leader. They stop after the
 * test, also if it fails, as their links would keep the test process running.
 */
async function startPlacer(context: TestContext) {
  const start = async (): Promise<FakeScheduler> => {
    const scheduler = await FakeScheduler.start();
    context.after(() => scheduler.stop());
    return scheduler;
  };
  const schedulers = [await start(), await start()] as const;
  const linkPool = new LinkPool({ ownAddress: '', handlers: new Map(), onOpen: () => undefined });
  context.after(() => linkPool.stop());
  const view = new ClusterView({ codec: versionCodec, logger: silentLogger });
  view.routing = createRouting();
  const record = { id: 'e', bornAt: 1, sequence: 1, service: 's', address: 'a:1', capacity: 4 };
  view.upstreamTable.merge({ ...record, dataCentre: 'd', state: 'ready' });
  const members = schedulers.map(({ address }) => address);
  view.updateCluster({ members, leader: members[0] ?? null, term: 1, entries: 1 });
  linkPool.retain(members);
  await waitFor(() => members.every((address) => linkPool.getLink(address).current));
  const shortPromptEngines = new ShortPromptEngines(view);
  const selector = new SchedulerSelector({ view, linkPool });
  const statements = createStatements(view);
  const fallback = new LeastLoadedPlacer({
    view,
    permits: new PermitClient({ view, schedulers: selector, logger: silentLogger }),
    health: new UpstreamHealth(),
    shortPromptEngines,
    startupGate: new StartupGate({ windowMs: 0 }),
    statements,
    dataCentre: 'd',
  });
  const placer = new ScheduledPlacer({
    view,
    schedulers: selector,
    shortPromptEngines,
    statements,
    fallback,
    dataCentre: 'd',
    logger: silentLogger,
  });
  const place = async () => {
    const placement = await placer.place(REQUEST, new AbortController().signal);
    assert.ok(placement.kind === 'placed');
    return placement;
  };
  return { schedulers, placer, place, view, shortPromptEngines, members };
}

const NO_RESPONSE = (): Promise<EngineDecision> => new Promise(() => {});

test('the leader places a job and the standby is notified of it', async (context) => {
  const { schedulers, placer, place } = await startPlacer(context);
  const { upstream, jobId, isScheduled } = await place();
  assert.equal(isScheduled, true);
  const handle = placer.track(REQUEST, upstream, jobId);
  handle.reportProgress();
  handle.release('orderly');
  await waitFor(() => schedulers.every(({ received }) => received.includes(METHODS.release)));
  assert.deepEqual(schedulers[0].received, [METHODS.place, METHODS.progress, METHODS.release]);
  assert.deepEqual(schedulers[1].received, [METHODS.adopt, METHODS.progress, METHODS.release]);
});

test('the standby places a job within an eighth of the objective if the leader does not respond', async (context) => {
  const { schedulers, place } = await startPlacer(context);
  schedulers[0].respond = NO_RESPONSE;
  const startedAt = performance.now();
  assert.equal((await place()).isScheduled, true);
  assert.ok(performance.now() - startedAt < REQUEST.route.objectiveMs / 8 + 50);
  await place();
  assert.equal(schedulers[0].received.filter((method) => method === METHODS.place).length, 1);
});

test('an entry process places a job itself if no scheduler responds', async (context) => {
  const { schedulers, place } = await startPlacer(context);
  schedulers.forEach((scheduler) => {
    // eslint-disable-next-line no-param-reassign -- The script of a fake.
    scheduler.respond = NO_RESPONSE;
  });
  assert.notEqual((await place()).isScheduled, true);
});

test('a new leader is notified of all jobs, and a deselected scheduler is told to release them', async (context) => {
  const { schedulers, place, view, members } = await startPlacer(context);
  await place();
  view.updateCluster({
    members: [members[1] ?? ''],
    leader: members[1] ?? '',
    term: 2,
    entries: 1,
  });
  await place();
  await waitFor(() => schedulers[0].received.includes(METHODS.release));
  assert.deepEqual(schedulers[1].received, [METHODS.adopt, METHODS.place]);
});

test('a cluster update without a leader does not replace the known leader', async (context) => {
  const { view, members } = await startPlacer(context);
  view.updateCluster({ members, leader: null, term: 1, entries: 3 });
  assert.equal(view.cluster.value.leader, members[0]);
  assert.equal(view.cluster.value.entries, 3);
});

test('without a scheduler, long prompts avoid engines that serve short ones', async (context) => {
  const { shortPromptEngines } = await startPlacer(context);
  shortPromptEngines.update({ service: 's', engines: ['e1', 'e2'] });
  const long = { ...REQUEST, promptTokens: 100_000 };
  assert.ok(shortPromptEngines.getCost(long, 'e1') > shortPromptEngines.getCost(long, 'e3'));
  assert.ok(shortPromptEngines.getCost(REQUEST, 'e1') < shortPromptEngines.getCost(REQUEST, 'e3'));
});

// Guards against a scheduler that does not know of an evacuation yet.
test('a decision for an upstream in an evacuated data centre is not used', async (context) => {
  const { schedulers, placer, view } = await startPlacer(context);
  const other = { id: 'f', bornAt: 1, sequence: 1, service: 's', address: 'b:1', capacity: 4 };
  view.upstreamTable.merge({ ...other, dataCentre: 'x', state: 'ready' });
  view.updateEvacuations({ revision: 1, dataCentres: ['d'] });
  const placement = await placer.place(REQUEST, new AbortController().signal);
  assert.equal(placement.kind === 'placed' && placement.upstream.id, 'f');
  await waitFor(() => schedulers[0].received.includes(METHODS.release));
});

test('a decision with a helper in an evacuated data centre is not used', async (context) => {
  const { schedulers, placer, view } = await startPlacer(context);
  const helper = { id: 'f', bornAt: 1, sequence: 1, service: 's', address: 'b:1', capacity: 4 };
  view.upstreamTable.merge({ ...helper, dataCentre: 'x', state: 'ready' });
  view.updateEvacuations({ revision: 1, dataCentres: ['x'] });
  schedulers[0].respond = async () => ({
    kind: 'placed',
    engine: 'e',
    helpers: [{ engine: 'f', heldTokens: 9 }],
    expectedMs: 50,
  });
  const placement = await placer.place(REQUEST, new AbortController().signal);
  assert.deepEqual(placement.kind === 'placed' && placement.helpers, []);
});

test('schedulers are not asked while all upstreams are in evacuated data centres', async (context) => {
  const { schedulers, placer, view } = await startPlacer(context);
  view.updateEvacuations({ revision: 1, dataCentres: ['d'] });
  const placement = await placer.place(REQUEST, new AbortController().signal);
  assert.equal(placement.kind, 'refused');
  assert.ok(!schedulers[0].received.includes(METHODS.place));
});
