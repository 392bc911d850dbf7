import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FakeRunner } from '../src/runner/index.js';
import { BOUNDS } from '../src/soak/Bounds.js';
import { SERVICES } from '../src/soak/configuration.js';
import { startRunners } from './startRunners.js';
import type { RunnerSite, SiteRequest } from './startRunners.js';

const ENTRIES = 3;
const RUN_MS = 14_000;
const INTERVAL_MS = 40;
/** Time at which a control process, which may be the scheduler, is killed. */
const KILL_AT_MS = 6000;
const WINDOW_MS = 4000;
/** Requests beyond one and a half times the limit that a runner may get in a window. */
const EXTRA_REQUESTS = 5;
const MIN_SERVED_SHARE = 0.95;

/** Gets the most requests that a runner has got in a window later than the contact time. */
function getMostArrivals({ recordedRequests }: FakeRunner, limitedAt: number): number {
  const times = recordedRequests
    .map(({ receivedAt }) => receivedAt)
    .filter((at) => at > limitedAt + BOUNDS.contactMs);
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

/** Sends requests of one kind to all entry processes in turn, and gets the share that is served. */
async function sendAll(
  site: RunnerSite,
  kind: SiteRequest['kind'],
  endAt: number,
): Promise<number> {
  const statuses: Promise<number>[] = [];
  for (let index = 0; performance.now() < endAt; index += 1) {
    const id = `${kind}-${index}-${Math.round(performance.now())}`;
    statuses.push(site.send(index % ENTRIES, { id, kind, parts: ['first', id] }));
    await sleep(INTERVAL_MS);
  }
  const all = await Promise.all(statuses);
  return all.filter((status) => status === 200).length / all.length;
}

// Guards against a limit that each entry process keeps, or ignores, for itself.
test('runners with a limit get no more than that from all entry processes, and others the rest', async () => {
  const site = await startRunners('limits', {
    controls: 3,
    entries: ENTRIES,
    services: [
      ...Array.from({ length: 5 }, () => SERVICES.models),
      ...Array.from({ length: 3 }, () => SERVICES.orders),
    ],
  });
  try {
    const limited = [0, 1, 2, 5, 6].flatMap((index) => site.getRunners()[index] ?? []);
    limited.forEach((runner, index) => Object.assign(runner, { requestsPerSecond: 1 + index / 4 }));
    const limitedAt = performance.now();
    const endAt = limitedAt + RUN_MS;
    const killing = sleep(KILL_AT_MS).then(() => site.cluster.controls[0]?.child.kill());
    const shares = await Promise.all([sendAll(site, 'chat', endAt), sendAll(site, 'read', endAt)]);
    await killing;
    for (const runner of limited) {
      const allowed = 1.5 * (runner.requestsPerSecond ?? 0) * (WINDOW_MS / 1000) + EXTRA_REQUESTS;
      const most = getMostArrivals(runner, limitedAt);
      assert.ok(most <= allowed, `${runner.id}: ${most} requests in 4 s, ${allowed} allowed`);
    }
    assert.ok(Math.min(...shares) >= MIN_SERVED_SHARE, `${shares.join(' and ')} served`);
  } finally {
    await site.stop();
  }
});

// Guards against a limit that is kept after it was lifted, as a runner without requests says nothing.
test('a runner whose limit is lifted gets requests again', async () => {
  const site = await startRunners('lifted', {
    controls: 1,
    entries: ENTRIES,
    services: [SERVICES.orders, SERVICES.models],
  });
  try {
    const runners = site.getRunners();
    runners.forEach((runner) => Object.assign(runner, { requestsPerSecond: 2 }));
    const limitedAt = performance.now();
    await Promise.all([
      sendAll(site, 'chat', limitedAt + 3000),
      sendAll(site, 'read', limitedAt + 3000),
    ]);
    runners.forEach((runner) => Object.assign(runner, { requestsPerSecond: undefined }));
    await Promise.all([
      sendAll(site, 'chat', performance.now() + 2000),
      sendAll(site, 'read', performance.now() + 2000),
    ]);
    const endAt = performance.now() + 2000;
    const shares = await Promise.all([sendAll(site, 'chat', endAt), sendAll(site, 'read', endAt)]);
    assert.ok(Math.min(...shares) >= MIN_SERVED_SHARE, `${shares.join(' and ')} served`);
  } finally {
    await site.stop();
  }
});
