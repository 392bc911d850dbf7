import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamTable } from '@azurecart/discovery';
import type { Announcement, UpstreamRecord } from '@azurecart/discovery';
import { CapacityService } from '../../src/control/CapacityService.js';
import type { DurationsReport } from '../../src/control/messages.js';
import { ClusterView } from '../../src/entry/ClusterView.js';
import { LeastLoadedPlacer } from '../../src/entry/LeastLoadedPlacer.js';
import type { PlacementRequest } from '../../src/entry/Placement.js';
import { SharedCapacity } from '../../src/entry/SharedCapacity.js';
import { ShortPromptEngines } from '../../src/entry/ShortPromptEngines.js';
import { StartupGate } from '../../src/entry/StartupGate.js';
import { UpstreamHealth } from '../../src/entry/UpstreamHealth.js';
import type { Link, Notification } from '../../src/links/index.js';
import { silentLogger, versionCodec } from '../control/ControlCluster.js';
import { createPermitClient, createStatements } from './startEntry.js';

const SECOND = 1000;
const UPSTREAMS = ['u0', 'u1', 'u2'];

function createRecord(id: string, dataCentre = 'd'): Announcement {
  const record = { id, bornAt: 1, sequence: 1, service: 's', address: id, capacity: 4 };
  return { ...record, dataCentre, state: 'ready' };
}

function createTable(): UpstreamTable {
  const table = new UpstreamTable({ now: () => 0 });
  UPSTREAMS.forEach((id) => table.merge(createRecord(id)));
  return table;
}

/** Entry processes whose notifications reach a control process at once. */
class CapacityCluster {
  now = 0;

  isCut = false;

  reportCount = 0;

  service = this.createService();

  private readonly subscribers: ((notification: Notification) => void)[] = [];

  readonly entries: SharedCapacity[];

  private readonly link = {
    notify: (_method: string, body: unknown): void => {
      this.reportCount += 1;
      if (!this.isCut) this.service.recordDurations(body as DurationsReport);
    },
    subscribe: (subscriber: (notification: Notification) => void): void => {
      this.subscribers.push(subscriber);
    },
  };

  constructor(count: number) {
    this.entries = Array.from(
      { length: count },
      () =>
        new SharedCapacity({
          schedulers: { getLinks: () => [this.link] },
          dataCentre: 'd',
          now: () => this.now,
        }),
    );
  }

  createService(): CapacityService {
    return new CapacityService({
      table: createTable(),
      logger: silentLogger,
      now: () => this.now,
    });
  }

  /** Runs whole seconds; in each one, one entry process of five has a request. */
  run(seconds: number, getDuration: (upstream: string) => number): void {
    const table = createTable();
    for (let second = 0; second < seconds; second += 1) {
      this.entries.forEach((entry, index) => {
        const upstream = table.getUpstream(UPSTREAMS[index % 3] ?? '');
        if (!upstream || Math.floor(index / 3) % 5 !== second % 5) return;
        entry.recordDuration({ upstream, kind: 'k', ms: getDuration(upstream.id) });
      });
      this.entries.forEach((entry) => entry.report());
      this.now += SECOND;
      this.service.publish([{ notify: (method, body) => this.deliver(method, body) }]);
    }
  }

  getSlowdowns(): number[][] {
    return this.entries.map((entry) => UPSTREAMS.map((id) => entry.getSlowdown('s', id)));
  }

  private deliver(method: string, body: unknown): void {
    if (this.isCut) return;
    const link = this.link as unknown as Link;
    this.subscribers.forEach((subscriber) => subscriber({ method, body, link }));
  }
}

const isSlow = (id: string): number => (id === 'u2' ? 120 : 30);

// Guards against a slow upstream that no single process sees often enough.
test('entry processes with few requests each learn of a slow upstream together', () => {
  const cluster = new CapacityCluster(60);
  cluster.run(5, () => 30);
  assert.ok(cluster.getSlowdowns().every((each) => each.every((slowdown) => slowdown === 1)));
  cluster.run(8, isSlow);
  for (const [first, second, third] of cluster.getSlowdowns()) {
    assert.deepEqual([first, second], [1, 1]);
    assert.ok((third ?? 0) > 2);
  }
  assert.equal(cluster.entries[0]?.slowCount, 1);
  // Every request was reported, and nothing else.
  assert.equal(cluster.reportCount, 13 * 12);
});

test('a new scheduler learns again, and entry processes forget what none confirms', () => {
  const cluster = new CapacityCluster(60);
  cluster.run(10, isSlow);
  cluster.isCut = true;
  cluster.run(6, isSlow);
  assert.ok(cluster.getSlowdowns().every(([, , third]) => third === 1));
  cluster.isCut = false;
  cluster.service = cluster.createService();
  cluster.run(8, isSlow);
  assert.ok(cluster.getSlowdowns().every(([, , third]) => (third ?? 0) > 2));
});

test('responses from another data centre are not compared', () => {
  const cluster = new CapacityCluster(1);
  const [entry] = cluster.entries;
  const upstream = { ...createTable().getUpstream('u0'), dataCentre: 'far' } as UpstreamRecord;
  entry?.recordDuration({ upstream, kind: 'k', ms: 30 });
  entry?.report();
  assert.equal(cluster.reportCount, 0);
});

const REQUEST: PlacementRequest = {
  clientAttemptId: 'r',
  service: 's',
  route: {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: 'idempotent',
    timeoutMs: 9000,
    objectiveMs: 800,
    pauseMs: 250,
    priority: 0,
    maxAttempts: 2,
    isPublic: true,
    isResumable: false,
    sendsPriority: false,
    backends: [],
  },
  promptTokens: 0,
  maxOutputTokens: 0,
  remainingMs: 9000,
  waitedMs: 0,
  priority: 0,
  customer: undefined,
  parts: [],
  excluded: new Set(),
};

async function countPlacements(slowdown: number, count: number): Promise<Map<string, number>> {
  const view = new ClusterView({ codec: versionCodec, logger: silentLogger });
  UPSTREAMS.forEach((id) => view.upstreamTable.merge(createRecord(id)));
  let state = 1;
  const placer = new LeastLoadedPlacer({
    view,
    health: new UpstreamHealth(),
    statements: createStatements(view),
    shortPromptEngines: new ShortPromptEngines(view),
    startupGate: new StartupGate({ windowMs: 0 }),
    permits: createPermitClient(view),
    dataCentre: 'd',
    capacity: { getSlowdown: (_service, id) => (id === 'u2' ? slowdown : 1) },
    random: () => {
      state = (state * 16_807) % 2_147_483_647;
      return state / 2_147_483_647;
    },
  });
  const counts = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const placement = await placer.place(REQUEST, new AbortController().signal);
    assert.equal(placement.kind, 'placed');
    const id = placement.kind === 'placed' ? placement.upstream.id : '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

// Guards against a slow upstream that is filled, and against one that can't show that it is well.
test('an idle upstream that is slow gets few requests, but some', async () => {
  const slow = (await countPlacements(4, 3000)).get('u2') ?? 0;
  assert.ok(slow > 0 && slow < 3000 / 3 / 4, `${slow}`);
  const even = await countPlacements(1, 3000);
  assert.ok([...even.values()].every((count) => count > 800));
});
