import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Registry } from 'prom-client';
import { createLogger, HybridClock, Invariants, Timeline } from '@azurecart/telemetry';
import { LocalOwners } from '../../src/entry/owner/index.js';
import { EMPTY_VIEW } from '../../src/entry/view/index.js';
import type { SessionView, View } from '../../src/entry/view/index.js';

/** Longer than the interval at which owners look for a preferred process. */
const HANDOVER_WAIT_MS = 1200;

function createSession(id: string, dataCentre: string, isDraining = false): SessionView {
  return { id, vm: id, dataCentre, address: id, isDraining };
}

/** Creates a view in which the given session owns the shard `a/0`. */
function createView(fence: number, session: string, ...sessions: SessionView[]): View {
  return {
    ...EMPTY_VIEW,
    owners: new Map([['a/0', { shard: 'a/0', session, fence }]]),
    sessions: new Map(sessions.map((each) => [each.id, each])),
  };
}

/** Applies views in turn; returns the number of shards owned after each, and the yielded shards. */
async function applyViews(getSession: () => string, ...views: View[]) {
  const yielded: string[][] = [];
  let [view] = views;
  const timeline = new Timeline({ process: 'p', vm: 'v', clock: new HybridClock() });
  const owners = new LocalOwners({
    getView: () => view ?? EMPTY_VIEW,
    getSession,
    lease: { isHeld: true } as never,
    control: {
      call: async (run: (client: unknown, options: unknown) => unknown) =>
        run({ yield: ({ shards }: { shards: string[] }) => yielded.push(shards) }, {}),
    } as never,
    shared: {
      settings: {
        policy: 'fair',
        startWithinMs: 1,
        announcementTtlMs: 1,
        dataCentre: 'b',
      } as never,
      client: {} as never,
      timeline,
      invariants: new Invariants({ registry: new Registry(), timeline }),
      logger: createLogger({ name: 'test', vm: 'v', level: 'fatal' }),
    },
  });
  const handover = owners.runHandover();
  const owned: number[] = [];
  for (const next of views) {
    view = next;
    owners.applyView(next);
    await sleep(HANDOVER_WAIT_MS);
    owned.push(owners.getAll().length);
  }
  owners.stopAll();
  await handover;
  return { owned, yielded };
}

const OWN = createSession('own', 'b');

test('a shard is handed over to a process in its data centre', async () => {
  const near = createSession('near', 'a');
  const { owned, yielded } = await applyViews(() => 'own', createView(1, 'own', OWN, near));
  assert.deepEqual([owned, yielded], [[0], [['a/0']]]);
});

test('a shard is kept while no other process is in its data centre', async () => {
  const other = createSession('other', 'c');
  assert.deepEqual((await applyViews(() => 'own', createView(1, 'own', OWN, other))).owned, [1]);
});

test('a draining process hands its shards over', async () => {
  const draining = createSession('own', 'a', true);
  const view = createView(1, 'own', draining, createSession('other', 'c'));
  assert.deepEqual((await applyViews(() => 'own', view)).owned, [0]);
});

test('a process whose session is not in the view hands over no shards', async () => {
  const view = createView(1, 'own', createSession('near', 'a'));
  assert.deepEqual((await applyViews(() => 'own', view)).owned, [1]);
});

test('a shard that is reassigned under a new fencing token is owned again', async () => {
  const near = createSession('near', 'a');
  const views = [createView(1, 'own', OWN, near), createView(2, 'own', OWN)];
  assert.deepEqual((await applyViews(() => 'own', ...views)).owned, [0, 1]);
});
