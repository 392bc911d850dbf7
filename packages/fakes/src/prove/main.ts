/** Runs the system under random faults, and checks what must always hold. */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { cac } from 'cac';
import { getMetric } from '../harness/fleetProbes.js';
import type { FakeEngineStats } from '../engine/FakeEngine.js';
import { Fleet, getFreePorts, getSampleRelease } from '../harness/index.js';
import { Random } from '../load/index.js';
import { Bookings } from './Bookings.js';
import { Checks } from './Checks.js';
import { Faults } from './Faults.js';
import { Prompts } from './Prompts.js';
import { Releases } from './Releases.js';

const DATA_CENTRES = ['khomas-a', 'khomas-b', 'khomas-c'];
const ENGINES = 6;
const SERVICES = 2;
const PROMPTS_PER_SECOND = 12;
const BOOKINGS_PER_SECOND = 4;
const FAULT_GAP_MS: [number, number] = [500, 2500];
const IN_FORCE_LIMIT_MS = 2000;
const QUIET_TRIES = 100;
const RELEASE_CHANGES = {
  pools: [{ name: 'fitting-assist', checksFence: false }],
  weightStore: { concurrentLoads: 4, spacingMs: 0 },
};

const cli = cac('prove');
cli
  .command('', 'Run the system under random faults')
  .option('--seed <number>', 'Seed of load and faults', { default: 1 })
  .option('--minutes <number>', 'Length of the run', { default: 2 })
  .action((options: { seed: number; minutes: number }) => {
    run(options.seed, options.minutes).then(
      (isGood) => process.exit(isGood ? 0 : 1),
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
    return await runOn(fleet, seed, minutes);
  } finally {
    await fleet.stop();
  }
}

async function runOn(fleet: Fleet, seed: number, minutes: number): Promise<boolean> {
  await fleet.start();
  const { engines, services, engineRuns, serviceRuns } = await startUpstreams(fleet);
  await fleet.submit(getSampleRelease(1, RELEASE_CHANGES));
  await fleet.waitForModel('fitting-assist', ENGINES);
  const checks = new Checks();
  const random = new Random(seed);
  const releases = new Releases(fleet, checks, RELEASE_CHANGES);
  const faults = new Faults({ fleet, random, releases, engines, services });
  const pickUrl = (): string => {
    const open = fleet.entries.filter((entry) => !faults.leaving.has(entry));
    return random.pick(open.length > 0 ? open : fleet.entries).url;
  };
  const isStopping = (url: string): boolean =>
    [...faults.stopping].some((each) => each.url === url);
  const prompts = new Prompts(random, pickUrl, checks, isStopping);
  const bookings = new Bookings(pickUrl);
  const endAt = performance.now() + minutes * 60_000;
  const isOver = (): boolean => performance.now() >= endAt;
  await Promise.all([
    runStream(() => prompts.send(), PROMPTS_PER_SECOND, random, isOver),
    runStream(() => bookings.send(), BOOKINGS_PER_SECOND, random, isOver),
    runFaults(faults, random, isOver),
  ]);
  await checkQuiet(fleet, engines, checks, releases);
  await bookings.check(serviceRuns, checks);
  await prompts.checkRuns(engineRuns);
  prompts.close();
  const { counts, violations } = checks;
  const summary = {
    seed,
    minutes,
    faults: faults.made,
    prompts: prompts.kinds,
    bookings: { sent: bookings.sent, completed: bookings.completed },
    releases: releases.accepted,
    checks: counts,
    violations,
  };
  process.stdout.write(`${JSON.stringify(summary, null, 2)}\n`);
  return violations.length === 0;
}

async function startUpstreams(fleet: Fleet) {
  const engineRuns = Array.from({ length: ENGINES }, (_, index) => fleet.getPath(`e${index}.runs`));
  const serviceRuns = Array.from({ length: SERVICES }, (_, index) =>
    fleet.getPath(`s${index}.runs`),
  );
  const ports = await getFreePorts(ENGINES + SERVICES);
  const start = (kind: string, pool: string, runFile: string, changes: object) => {
    const port = ports.shift() ?? 0;
    const dataCentre = DATA_CENTRES[ports.length % DATA_CENTRES.length];
    const id = `${kind}-${port}`;
    const child = fleet.startUpstreams([{ kind, pool, id, port, dataCentre, runFile, ...changes }]);
    return { child, url: `http://127.0.0.1:${port}` };
  };
  const engines = engineRuns.map((file, index) => {
    const changes = { gapRate: 0.2, strayRate: 0.01, checksFence: index % 2 === 0 };
    return start('engine', 'fitting-assist', file, changes);
  });
  const services = serviceRuns.map((file) =>
    start('service', 'work-orders', file, { lossRate: 0.05, refusalRate: 0.05 }),
  );
  return { engines, services, engineRuns, serviceRuns };
}

async function runStream(
  send: () => Promise<void>,
  perSecond: number,
  random: Random,
  isOver: () => boolean,
): Promise<void> {
  const open = new Set<Promise<void>>();
  while (!isOver()) {
    await sleep(random.nextInterarrivalMs(perSecond));
    const sending = send().finally(() => open.delete(sending));
    open.add(sending);
  }
  await Promise.all(open);
}

async function runFaults(faults: Faults, random: Random, isOver: () => boolean): Promise<void> {
  const open: Promise<void>[] = [];
  while (!isOver()) {
    await sleep(random.nextInteger(...FAULT_GAP_MS));
    open.push(faults.makeNext());
  }
  await Promise.all(open);
}

/** Checks what must hold when no fault is left and nothing runs. */
async function checkQuiet(
  fleet: Fleet,
  engines: { url: string }[],
  checks: Checks,
  releases: Releases,
): Promise<void> {
  await fleet.waitForModel('fitting-assist', ENGINES);
  await checkInForce(fleet, checks);
  await releases.checkLatest();
  for (const { url } of engines) {
    const { held, overfilled, id } = await getQuietStats(url);
    checks.check('no-memory-held-after-quiet', held === 0, () => `${id} holds ${held}`);
    checks.check('engine-not-overfilled', overfilled === 0, () => id);
  }
  for (const { vm, url, process: child } of [...fleet.entries, ...fleet.controls]) {
    const isSound = child.isRunning && child.unexpectedExits === 0;
    checks.check('process-never-died-by-itself', isSound, () => vm);
    const violations = await getMetric(url, 'azurecart_invariant_violations_total');
    checks.check('no-invariant-violated-inside', violations === 0, () => `${vm}: ${violations}`);
    const reserved = await getMetric(url, 'azurecart_reserved_tokens');
    checks.check('nothing-reserved-after-quiet', reserved === 0, () => `${vm}: ${reserved}`);
  }
}

async function checkInForce(fleet: Fleet, checks: Checks): Promise<void> {
  const number = Number((await fleet.getStatus()).release?.number ?? 0n) + 1;
  const startedAt = performance.now();
  await fleet.submit(getSampleRelease(number, RELEASE_CHANGES));
  let isInForce = false;
  while (!isInForce && performance.now() - startedAt < IN_FORCE_LIMIT_MS * 5) {
    isInForce = (await fleet.getStatus()).release?.inForceEverywhere ?? false;
    await sleep(10);
  }
  const ms = performance.now() - startedAt;
  checks.check('in-force-everywhere-when-healthy', ms <= IN_FORCE_LIMIT_MS, () => `${ms} ms`);
}

async function getQuietStats(url: string): Promise<FakeEngineStats> {
  for (let attempt = 0; ; attempt += 1) {
    const stats = (await (await fetch(`${url}/fake/stats`)).json()) as FakeEngineStats;
    if (stats.held === 0 || attempt >= QUIET_TRIES) return stats;
    await sleep(100);
  }
}
