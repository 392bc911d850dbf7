import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { UpstreamPath } from '@azurecart/protocol';
import { Fleet, getSampleRelease, hashApiKey, UPSTREAM_SECRET, getMetric } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { fitSlope } from '../fitSlope.js';
import type { Point } from '../fitSlope.js';

const SESSION_COUNTS = [20, 60, 120];
const CUSTOMER_COUNTS = [100, 1000, 2500];
const RELEASE_COUNTS = [50, 100, 200];
const CLAIM_COUNTS = [500, 1500, 3000];
const UPSTREAM_COUNTS = [50, 150, 300];
const CONCURRENT_CLAIMS = 20;
const CALL_TIMEOUT_MS = 10_000;

/**
 * Estimates by linear regression the cost per session, release and claim on the control leader, and
 * per customer and upstream on an entry process; also measures how releases grow with the customers.
 */
export const control: Bench = {
  name: 'control',
  summary: 'CPU, network and memory cost per session, customer, release, claim and upstream',
  // The policy has no effect, as no prompts are scheduled, so one is enough.
  policies: ['fair'],
  run,
};

interface LeaderMetrics {
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
      followers: await measureSessions(fleet, seconds / 4),
      releases: await measureReleases(fleet),
      customers: await measureCustomers(fleet),
    };
  } finally {
    await fleet.stop();
  }
}

async function measureSessions(fleet: Fleet, seconds: number) {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  const heap: Point[] = [];
  for (const size of SESSION_COUNTS) {
    const sessions = await openSessions(fleet, size);
    await sleep(1000);
    const before = await readLeaderMetrics(fleet);
    await sleep(seconds * 1000);
    const after = await readLeaderMetrics(fleet);
    sessions.stop();
    cpu.push({ size, value: (after.cpuSeconds - before.cpuSeconds) / seconds });
    bytes.push({ size, value: (after.relayBytes - before.relayBytes) / seconds });
    heap.push({ size, value: after.heapBytes });
    await sessions.closed;
    await sleep(3500);
  }
  return {
    cpuCoreShare: cpu,
    cpuCoreShareEach: fitSlope(cpu),
    bytesPerSecondEach: fitSlope(bytes),
    heapBytesEach: fitSlope(heap),
  };
}

/** Opens sessions that keep renewing their leases, as entry processes do. */
async function openSessions(fleet: Fleet, count: number) {
  let isStopped = false;
  const runSession = async (index: number): Promise<void> => {
    const vm = `follower-${index}`;
    const session = `${vm}#${count}`;
    // A shard is assigned to a session of its own data centre if there is one, so these sessions get no
    // shards. The address is a placeholder.
    const openRequest = { session, vm, dataCentre: 'none', address: '127.0.0.1:1' };
    await fleet.callControl(
      (client, options) => client.openSession(openRequest, options),
      CALL_TIMEOUT_MS,
    );
    let [knownVersion, appliedRelease] = [0n, 0n];
    while (!isStopped) {
      const request = { session, knownVersion, appliedRelease };
      const response = await fleet
        .callControl((client, options) => client.renew(request, options), CALL_TIMEOUT_MS)
        .catch(() => undefined);
      knownVersion = response?.view?.version ?? knownVersion;
      appliedRelease = response?.view?.releaseNumber ?? appliedRelease;
    }
    const closeRequest = { session };
    await fleet.callControl(
      (client, options) => client.closeSession(closeRequest, options),
      CALL_TIMEOUT_MS,
    );
  };
  const allClosed = Promise.allSettled(
    Array.from({ length: count }, (_, index) => runSession(index)),
  );
  await sleep(1000);
  return {
    closed: allClosed,
    stop: () => {
      isStopped = true;
    },
  };
}

async function measureClaims(fleet: Fleet) {
  const cpu: Point[] = [];
  const heap: Point[] = [];
  const start = await readLeaderMetrics(fleet);
  const startedAt = performance.now();
  let total = 0;
  for (const size of CLAIM_COUNTS) {
    const before = await readLeaderMetrics(fleet);
    while (total < size) {
      await claimConcurrently(fleet, total);
      total += CONCURRENT_CLAIMS;
    }
    const after = await readLeaderMetrics(fleet);
    cpu.push({ size, value: after.cpuSeconds - start.cpuSeconds });
    heap.push({ size, value: after.heapBytes - before.heapBytes });
  }
  return {
    cpuSecondsEach: fitSlope(cpu),
    perSecond: Math.round(total / ((performance.now() - startedAt) / 1000)),
    heapBytesEach: heap.reduce((sum, { value }) => sum + value, 0) / total,
  };
}

async function claimConcurrently(fleet: Fleet, first: number): Promise<void> {
  const numbers = Array.from({ length: CONCURRENT_CLAIMS }, (_, index) => first + index);
  await Promise.all(numbers.map((number) => claimAndSettle(fleet, `key-${number}`)));
}

async function claimAndSettle(fleet: Fleet, key: string): Promise<void> {
  const request = { key, fingerprint: 'f'.repeat(64), claimant: `call-${key}` };
  await fleet.callControl((client, options) => client.claim(request, options), CALL_TIMEOUT_MS);
  const outcome = { kind: 'completed', status: 200, contentType: 'application/json' };
  const settleRequest = { key, claimant: `call-${key}`, outcome };
  await fleet.callControl(
    (client, options) => client.settle(settleRequest, options),
    CALL_TIMEOUT_MS,
  );
}

async function measureReleases(fleet: Fleet) {
  const cpu: Point[] = [];
  const start = await readLeaderMetrics(fleet);
  const first = await getReleaseNumber(fleet);
  for (const size of RELEASE_COUNTS) {
    while ((await getReleaseNumber(fleet)) < first + size) {
      await fleet.submit(getSampleRelease((await getReleaseNumber(fleet)) + 1));
    }
    const after = await readLeaderMetrics(fleet);
    cpu.push({ size, value: after.cpuSeconds - start.cpuSeconds });
  }
  return { cpuSecondsEach: fitSlope(cpu) };
}

async function measureCustomers(fleet: Fleet) {
  const bytes: Point[] = [];
  const inForceMs: Point[] = [];
  const entryHeap: Point[] = [];
  for (const size of CUSTOMER_COUNTS) {
    const customers = Array.from({ length: size }, (_, index) => ({
      name: `customer-${index}`,
      keyHashes: [hashApiKey(`key-${index}`)],
    }));
    const release = getSampleRelease((await getReleaseNumber(fleet)) + 1, { customers });
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
  for (const size of UPSTREAM_COUNTS) {
    const before = await getMetric(url, 'process_cpu_seconds_total');
    const endAt = performance.now() + seconds * 1000;
    let sequence = 0;
    while (performance.now() < endAt) {
      sequence += 1;
      const roundEndAt = performance.now() + 1000;
      for (let index = 0; index < size; index += 1) await announce(url, index, sequence * size);
      await sleep(Math.max(0, roundEndAt - performance.now()));
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

async function getReleaseNumber(fleet: Fleet): Promise<number> {
  return Number((await fleet.getStatus()).release?.number ?? 0n);
}

async function readLeaderMetrics(fleet: Fleet): Promise<LeaderMetrics> {
  const { leader } = await fleet.getStatus();
  const leaderProcess = fleet.controls.find(({ rpcAddress: rpc }) => rpc === leader);
  const url = leaderProcess?.url ?? '';
  return {
    cpuSeconds: await getMetric(url, 'process_cpu_seconds_total'),
    heapBytes: await getMetric(url, 'nodejs_heap_size_used_bytes'),
    relayBytes: leaderProcess?.relay?.forwardedBytes ?? 0,
  };
}
