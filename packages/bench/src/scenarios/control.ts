import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { UpstreamPath } from '@azurecart/protocol';
import { Fleet, getSampleRelease, hashKey, UPSTREAM_SECRET, getMetric } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { fitSlope } from '../fitSlope.js';
import type { Point } from '../fitSlope.js';

const FOLLOWER_SIZES = [20, 60, 120];
const CUSTOMER_SIZES = [100, 1000, 2500];
const RELEASE_SIZES = [50, 100, 200];
const CLAIM_SIZES = [500, 1500, 3000];
const UPSTREAM_SIZES = [50, 150, 300];
const PARALLEL_CLAIMS = 20;
const CALL_MS = 10_000;

/** What control costs for each follower, customer, release, claim and upstream. */
export const control: Bench = {
  name: 'control',
  summary: 'slopes of control: CPU, bytes and memory by followers, customers, releases, claims',
  policies: ['fair'],
  run,
};

interface Reading {
  cpuSeconds: number;
  heapBytes: number;
  relayBytes: number;
}

async function run({ seconds }: BenchOptions): Promise<Record<string, unknown>> {
  const fleet = new Fleet({
    folder: join(process.cwd(), '.data', `bench-${process.pid}`),
    dataCentres: ['trnava-a'],
    controls: 3,
    entries: 1,
    hasRelays: true,
    entrySettings: { logLevel: 'warn' },
    controlSettings: { logLevel: 'warn' },
  });
  try {
    await fleet.start();
    await fleet.submit(getSampleRelease(1));
    await sleep(2000);
    return {
      claims: await measureClaims(fleet),
      upstreams: await measureUpstreams(fleet, seconds / 4),
      followers: await measureFollowers(fleet, seconds / 4),
      releases: await measureReleases(fleet),
      customers: await measureCustomers(fleet),
    };
  } finally {
    await fleet.stop();
  }
}

async function measureFollowers(fleet: Fleet, seconds: number) {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  const heap: Point[] = [];
  for (const size of FOLLOWER_SIZES) {
    const followers = await openFollowers(fleet, size);
    await sleep(1000);
    const before = await readLeader(fleet);
    await sleep(seconds * 1000);
    const after = await readLeader(fleet);
    followers.stop();
    cpu.push({ size, value: (after.cpuSeconds - before.cpuSeconds) / seconds });
    bytes.push({ size, value: (after.relayBytes - before.relayBytes) / seconds });
    heap.push({ size, value: after.heapBytes });
    await followers.closed;
    await sleep(3500);
  }
  return {
    cpuCoreShare: cpu,
    cpuCoreShareEach: fitSlope(cpu),
    bytesPerSecondEach: fitSlope(bytes),
    heapBytesEach: fitSlope(heap),
  };
}

/** Opens sessions that renew their leases as entry processes do. */
async function openFollowers(fleet: Fleet, count: number) {
  let isStopped = false;
  const follow = async (index: number): Promise<void> => {
    const vm = `follower-${index}`;
    const session = `${vm}#${count}`;
    const opening = { session, vm, dataCentre: 'none', address: '127.0.0.1:1' };
    await fleet.callControl((client, options) => client.openSession(opening, options), CALL_MS);
    let [knownVersion, appliedRelease] = [0n, 0n];
    while (!isStopped) {
      const request = { session, knownVersion, appliedRelease };
      const answer = await fleet
        .callControl((client, options) => client.renew(request, options), CALL_MS)
        .catch(() => undefined);
      knownVersion = answer?.view?.version ?? knownVersion;
      appliedRelease = answer?.view?.releaseNumber ?? appliedRelease;
    }
    const closing = { session };
    await fleet.callControl((client, options) => client.closeSession(closing, options), CALL_MS);
  };
  const all = Promise.allSettled(Array.from({ length: count }, (_, index) => follow(index)));
  await sleep(1000);
  return {
    closed: all,
    stop: () => {
      isStopped = true;
    },
  };
}

async function measureClaims(fleet: Fleet) {
  const cpu: Point[] = [];
  const heap: Point[] = [];
  const start = await readLeader(fleet);
  const startedAt = performance.now();
  let total = 0;
  for (const size of CLAIM_SIZES) {
    const before = await readLeader(fleet);
    while (total < size) {
      await claimMany(fleet, total);
      total += PARALLEL_CLAIMS;
    }
    const after = await readLeader(fleet);
    cpu.push({ size, value: after.cpuSeconds - start.cpuSeconds });
    heap.push({ size, value: after.heapBytes - before.heapBytes });
  }
  return {
    cpuSecondsEach: fitSlope(cpu),
    perSecond: Math.round(total / ((performance.now() - startedAt) / 1000)),
    heapBytesEach: heap.reduce((sum, { value }) => sum + value, 0) / total,
  };
}

async function claimMany(fleet: Fleet, first: number): Promise<void> {
  const numbers = Array.from({ length: PARALLEL_CLAIMS }, (_, index) => first + index);
  await Promise.all(numbers.map((number) => claim(fleet, `key-${number}`)));
}

async function claim(fleet: Fleet, key: string): Promise<void> {
  const request = { key, fingerprint: 'f'.repeat(64), claimant: `call-${key}` };
  await fleet.callControl((client, options) => client.claim(request, options), CALL_MS);
  const outcome = { kind: 'completed', status: 200, contentType: 'application/json' };
  const settling = { key, claimant: `call-${key}`, outcome };
  await fleet.callControl((client, options) => client.settle(settling, options), CALL_MS);
}

async function measureReleases(fleet: Fleet) {
  const cpu: Point[] = [];
  const start = await readLeader(fleet);
  const first = await getNumber(fleet);
  for (const size of RELEASE_SIZES) {
    while ((await getNumber(fleet)) < first + size) {
      await fleet.submit(getSampleRelease((await getNumber(fleet)) + 1));
    }
    const after = await readLeader(fleet);
    cpu.push({ size, value: after.cpuSeconds - start.cpuSeconds });
  }
  return { cpuSecondsEach: fitSlope(cpu) };
}

async function measureCustomers(fleet: Fleet) {
  const bytes: Point[] = [];
  const inForceMs: Point[] = [];
  const entryHeap: Point[] = [];
  for (const size of CUSTOMER_SIZES) {
    const customers = Array.from({ length: size }, (_, index) => ({
      name: `customer-${index}`,
      keyHashes: [hashKey(`key-${index}`)],
    }));
    const release = getSampleRelease((await getNumber(fleet)) + 1, { customers });
    const startedAt = performance.now();
    await fleet.submit(release);
    while (!(await fleet.getStatus()).release?.inForceEverywhere) await sleep(5);
    inForceMs.push({ size, value: performance.now() - startedAt });
    bytes.push({ size, value: JSON.stringify(release).length });
    await sleep(500);
    const heap = await getMetric(fleet.entryUrls[0] ?? '', 'nodejs_heap_size_used_bytes');
    entryHeap.push({ size, value: heap });
  }
  return {
    releaseBytesEach: fitSlope(bytes),
    inForceMs: inForceMs.map(({ size, value }) => ({ size, value: Math.round(value) })),
    entryHeapBytesEach: fitSlope(entryHeap),
  };
}

async function measureUpstreams(fleet: Fleet, seconds: number) {
  const cpu: Point[] = [];
  const heap: Point[] = [];
  const url = fleet.entryUrls[0] ?? '';
  for (const size of UPSTREAM_SIZES) {
    const before = await getMetric(url, 'process_cpu_seconds_total');
    const endAt = performance.now() + seconds * 1000;
    let sequence = 0;
    while (performance.now() < endAt) {
      sequence += 1;
      const round = performance.now() + 1000;
      for (let index = 0; index < size; index += 1) await announce(url, index, sequence * size);
      await sleep(Math.max(0, round - performance.now()));
    }
    const after = await getMetric(url, 'process_cpu_seconds_total');
    cpu.push({ size, value: (after - before) / seconds });
    heap.push({ size, value: await getMetric(url, 'nodejs_heap_size_used_bytes') });
  }
  return { entryCpuCoreShareEach: fitSlope(cpu), entryHeapBytesEach: fitSlope(heap) };
}

async function announce(url: string, index: number, sequence: number): Promise<void> {
  const response = await fetch(url + UpstreamPath.announce, {
    method: 'POST',
    headers: { authorization: `Bearer ${UPSTREAM_SECRET}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      id: `service-${index}`,
      incarnation: 'one',
      sequence,
      dataCentre: 'trnava-a',
      address: 'http://127.0.0.1:1',
      pool: 'work-orders',
      kind: 'service',
      load: { ageMs: 0, running: 1, queuedTokens: 0 },
    }),
  });
  await response.text();
}

async function getNumber(fleet: Fleet): Promise<number> {
  return Number((await fleet.getStatus()).release?.number ?? 0n);
}

async function readLeader(fleet: Fleet): Promise<Reading> {
  const { leader } = await fleet.getStatus();
  const member = fleet.controls.find(({ rpc }) => rpc === leader);
  const url = member?.url ?? '';
  return {
    cpuSeconds: await getMetric(url, 'process_cpu_seconds_total'),
    heapBytes: await getMetric(url, 'nodejs_heap_size_used_bytes'),
    relayBytes: member?.relay?.bytes ?? 0,
  };
}
