/** Runs the system under random faults, and checks its invariants. */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { cac } from 'cac';
import { getMetric } from '../harness/fleetMetrics.js';
import type { FakeEngineStats } from '../engine/FakeEngine.js';
import { Fleet, getFreePorts, getSampleRelease } from '../harness/index.js';
import { Random } from '../load/index.js';
import { BookingWorkload } from './BookingWorkload.js';
import { Checks } from './Checks.js';
import { FaultInjector } from './FaultInjector.js';
import { generateLoad } from './generateLoad.js';
import { PromptWorkload } from './PromptWorkload.js';
import { ReleaseWorkload } from './ReleaseWorkload.js';

const DATA_CENTRES = ['khomas-a', 'khomas-b', 'khomas-c'];
const ENGINE_COUNT = 6;
const SERVICE_COUNT = 2;
const PROMPTS_PER_SECOND = 12;
const BOOKINGS_PER_SECOND = 4;
const FAULT_INTERVAL_MS: [number, number] = [500, 2500];
const RELEASE_IN_FORCE_LIMIT_MS = 2000;
const IDLE_POLL_ATTEMPTS = 100;
const IDLE_POLL_INTERVAL_MS = 100;
/**
 * `checksFence` applies to a whole pool; it is false because every second fake engine has the check
 * switched off.
 */
const RELEASE_OVERRIDES = {
  pools: [{ name: 'fitting-assist', checksFence: false }],
  weightStore: { concurrentLoads: 4, spacingMs: 0 },
};

const cli = cac('prove');
cli
  .command('', 'Run the system under random faults and check its invariants')
  .option('--seed <number>', 'Seed of the load and the faults; does not repeat a run exactly', {
    default: 1,
  })
  .option('--minutes <number>', 'Duration of the run in minutes', { default: 2 })
  .action((options: { seed: number; minutes: number }) => {
    run(options.seed, options.minutes).then(
      (hasPassed) => process.exit(hasPassed ? 0 : 1),
      (error: unknown) => {
        process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
        process.exit(2);
      },
    );
  });
cli.help();
cli.parse();

async function run(seed: number, minutes: number): Promise<boolean> {
  const fleet = new Fleet({
    folder: join(process.cwd(), '.data', `prove-${process.pid}`),
    dataCentres: DATA_CENTRES,
    controls: 3,
    entries: 3,
    hasRelays: true,
    entrySettings: { logLevel: 'warn', drainMs: 1000 },
    controlSettings: { logLevel: 'warn', snapshotEvery: 200 },
  });
  try {
    return await runWorkloads(fleet, seed, minutes);
  } finally {
    await fleet.stop();
  }
}

async function runWorkloads(fleet: Fleet, seed: number, minutes: number): Promise<boolean> {
  await fleet.start();
  const { engines, services, engineRuns, serviceRuns } = await startUpstreams(fleet);
  await fleet.submit(getSampleRelease(1, RELEASE_OVERRIDES));
  await fleet.waitForReadyEngines('fitting-assist', ENGINE_COUNT);
  const checks = new Checks();
  const random = new Random(seed);
  const releases = new ReleaseWorkload(fleet, checks, RELEASE_OVERRIDES);
  const faults = new FaultInjector({ fleet, random, releases, engines, services });
  const pickUrl = (): string => {
    const available = fleet.entries.filter((entry) => !faults.outOfRotation.has(entry));
    return random.pick(available.length > 0 ? available : fleet.entries).url;
  };
  const isStopping = (url: string): boolean =>
    [...faults.stopping].some((each) => each.url === url);
  const prompts = new PromptWorkload(random, pickUrl, checks, isStopping);
  const bookings = new BookingWorkload(pickUrl);
  const endAt = performance.now() + minutes * 60_000;
  const isOver = (): boolean => performance.now() >= endAt;
  await Promise.all([
    generateLoad(() => prompts.send(), PROMPTS_PER_SECOND, random, isOver),
    generateLoad(() => bookings.send(), BOOKINGS_PER_SECOND, random, isOver),
    faults.run(FAULT_INTERVAL_MS, isOver),
  ]);
  await checkIdleState(fleet, engines, checks, releases);
  await bookings.check(serviceRuns, checks);
  await prompts.checkRuns(engineRuns);
  prompts.close();
  const { counts, violations } = checks;
  const summary = {
    seed,
    minutes,
    faults: faults.injected,
    prompts: prompts.resultCounts,
    bookings: { sent: bookings.sent, completed: bookings.completed },
    releases: releases.accepted,
    checks: counts,
    violations,
  };
  process.stdout.write(`${JSON.stringify(summary, null, 2)}\n`);
  return violations.length === 0;
}

async function startUpstreams(fleet: Fleet) {
  const engineRuns = Array.from({ length: ENGINE_COUNT }, (_, index) =>
    fleet.getPath(`e${index}.runs`),
  );
  const serviceRuns = Array.from({ length: SERVICE_COUNT }, (_, index) =>
    fleet.getPath(`s${index}.runs`),
  );
  const ports = await getFreePorts(ENGINE_COUNT + SERVICE_COUNT);
  const start = (kind: string, pool: string, runFile: string, settings: object) => {
    const port = ports.shift() ?? 0;
    const dataCentre = DATA_CENTRES[ports.length % DATA_CENTRES.length];
    const id = `${kind}-${port}`;
    const child = fleet.startUpstreams([
      { kind, pool, id, port, dataCentre, runFile, ...settings },
    ]);
    return { child, url: `http://127.0.0.1:${port}` };
  };
  const engines = engineRuns.map((file, index) => {
    const settings = { gapRate: 0.2, strayRate: 0.01, checksFence: index % 2 === 0 };
    return start('engine', 'fitting-assist', file, settings);
  });
  const services = serviceRuns.map((file) =>
    start('service', 'work-orders', file, { lossRate: 0.05, refusalRate: 0.05 }),
  );
  return { engines, services, engineRuns, serviceRuns };
}

/** Checks the invariants of the idle system, after all faults are reverted and all load is done. */
async function checkIdleState(
  fleet: Fleet,
  engines: { url: string }[],
  checks: Checks,
  releases: ReleaseWorkload,
): Promise<void> {
  await fleet.waitForReadyEngines('fitting-assist', ENGINE_COUNT);
  await checkInForce(fleet, checks);
  await releases.checkLatest();
  for (const { url } of engines) {
    const { held, overfilled, id } = await getIdleStats(url);
    checks.check('no-memory-held-after-quiet', held === 0, () => `${id} holds ${held} tokens`);
    checks.check('engine-not-overfilled', overfilled === 0, () => id);
  }
  for (const { vm, url, process: child } of [...fleet.entries, ...fleet.controls]) {
    const isHealthy = child.isRunning && child.unexpectedExits === 0;
    checks.check('process-never-died-by-itself', isHealthy, () => vm);
    const violations = await getMetric(url, 'azurecart_invariant_violations_total');
    checks.check(
      'no-invariant-violated-inside',
      violations === 0,
      () => `${vm}: ${violations} violations`,
    );
    const reserved = await getMetric(url, 'azurecart_reserved_tokens');
    checks.check('nothing-reserved-after-quiet', reserved === 0, () => `${vm}: ${reserved} tokens`);
  }
}

async function checkInForce(fleet: Fleet, checks: Checks): Promise<void> {
  const number = Number((await fleet.getStatus()).release?.number ?? 0n) + 1;
  const startedAt = performance.now();
  await fleet.submit(getSampleRelease(number, RELEASE_OVERRIDES));
  // Polls longer than the limit, so that a violation reports the actual time.
  let isInForce = false;
  while (!isInForce && performance.now() - startedAt < RELEASE_IN_FORCE_LIMIT_MS * 5) {
    isInForce = (await fleet.getStatus()).release?.inForceEverywhere ?? false;
    await sleep(10);
  }
  const ms = performance.now() - startedAt;
  checks.check(
    'in-force-everywhere-when-healthy',
    ms <= RELEASE_IN_FORCE_LIMIT_MS,
    () => `${ms} ms`,
  );
}

async function getIdleStats(url: string): Promise<FakeEngineStats> {
  for (let attempt = 0; ; attempt += 1) {
    const stats = (await (await fetch(`${url}/fake/stats`)).json()) as FakeEngineStats;
    if (stats.held === 0 || attempt >= IDLE_POLL_ATTEMPTS) return stats;
    await sleep(IDLE_POLL_INTERVAL_MS);
  }
}
