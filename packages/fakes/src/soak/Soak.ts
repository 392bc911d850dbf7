import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { GatewayCluster, getFreePorts, OTHER_HOST, Relay } from '../harness/index.js';
import type { GatewayProcess } from '../harness/index.js';
import { Random } from '../load/index.js';
import { Checks } from '../prove/Checks.js';
import { FaultSchedule } from '../prove/FaultSchedule.js';
import { BOUNDS } from './Bounds.js';
import { ClientWorkload } from './ClientWorkload.js';
import { ColdWorkload } from './ColdWorkload.js';
import { SERVICES } from './configuration.js';
import { CORE, Disturbances } from './Disturbances.js';
import { EvacuationWorkload } from './EvacuationWorkload.js';
import { GatewayFaults } from './GatewayFaults.js';
import { LimitWorkload } from './LimitWorkload.js';
import { OperatorWorkload } from './OperatorWorkload.js';
import { PoisonWorkload } from './PoisonWorkload.js';
import { RequestChecks } from './RequestChecks.js';
import type { PlannedSignal } from './RequestChecks.js';
import { isReady, Rotation } from './Rotation.js';
import { StatementWorkload } from './StatementWorkload.js';
import { RunnerFleet } from './RunnerFleet.js';

/** Options of a {@link Soak}. */
export interface SoakOptions {
  seed: number;
  /** Time in which faults are injected; the recovery afterwards adds about 20 s. */
  minutes: number;
  controls?: number;
  entries?: number;
  runners?: number;
  clients?: number;
}

const DEFAULT_CONTROLS = 3;
const DEFAULT_ENTRIES = 3;
const DEFAULT_RUNNERS = 6;
const MIN_CLIENTS = 24;
const CLIENTS_PER_ENTRY = 3;
const DATA_CENTRES = ['a', 'b', 'c'];
const SKIPPED_NUMBERS = 32;
const POISON_SEED_OFFSET = 1_000_003;
const LIMIT_SEED_OFFSET = 2_000_003;
const STATEMENT_SEED_OFFSET = 3_000_017;
const EVACUATION_SEED_OFFSET = 4_000_037;
const COLD_SEED_OFFSET = 5_000_011;
const GRACE_SECONDS = [8, 10, 12];
const FAULT_INTERVAL_MS: [number, number] = [200, 1800];
const EVALUATION_INTERVAL_MS = 500;
const START_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 100;
/** Time after the recovery over which the share of served requests is measured. */
const FINAL_LOAD_MS = 5000;
/** Share of the requests to be served after the faults, if as many were before. */
const SERVED_SHARE = 0.25;
const PAUSE_POLL_MS = 20;
const MIN_PAUSE_MS = 100;

/** A run of the gateway under faults, with clients, runners and operators. */
export class Soak {
  private readonly random: Random;

  private readonly graceSeconds: number;

  private readonly folder: string;

  private readonly cluster: GatewayCluster;

  private readonly checks = new Checks();

  private readonly disturbances = new Disturbances();

  private readonly signals: PlannedSignal[] = [];

  private readonly relays = new Map<GatewayProcess, Relay>();

  private readonly relayAddresses = new Map<GatewayProcess, string>();

  private readonly runners: RunnerFleet;

  private readonly schedule: FaultSchedule;

  private longestPauseMs = 0;

  constructor(private readonly options: SoakOptions) {
    const { seed, controls = DEFAULT_CONTROLS, entries = DEFAULT_ENTRIES } = options;
    const { retryRatio, retryWindowSeconds, retryExtra } = BOUNDS;
    this.random = new Random(seed);
    // The first numbers of the generator are alike for small seeds.
    for (let count = 0; count < SKIPPED_NUMBERS; count += 1) this.random.next();
    this.graceSeconds = this.random.pick(GRACE_SECONDS);
    this.folder = join(process.cwd(), '.data', `soak-${seed}-${process.pid}`);
    this.cluster = new GatewayCluster({
      folder: this.folder,
      controls,
      entries,
      dataCentres: DATA_CENTRES,
      graceSeconds: this.graceSeconds,
      retryRatio,
      retryWindowSeconds,
      retryExtra,
    });
    this.runners = new RunnerFleet(this.cluster.controls, this.random);
    this.schedule = new FaultSchedule(this.random);
  }

  /** Runs to the end and gets the summary. Settings and logs are kept if a check was violated. */
  async run() {
    let isKept = true;
    try {
      await this.cluster.start();
      await this.startRelays();
      const summary = await this.runWorkloads();
      isKept = summary.violations.length > 0;
      if (isKept)
        await writeFile(join(this.folder, 'summary.json'), JSON.stringify(summary, null, 2));
      return summary;
    } finally {
      await this.runners.stop();
      await this.cluster.stop();
      await Promise.all([...this.relays.values()].map((relay) => relay.stop()));
      if (!isKept) await this.cluster.removeFolder();
    }
  }

  private async runWorkloads() {
    const { random, checks, disturbances, signals, cluster, runners, relays, schedule } = this;
    const { controls, entries } = cluster;
    const graceMs = this.graceSeconds * 1000;
    const startedAt = performance.now();
    const requests = new RequestChecks({ checks, disturbances, graceMs, signals, startedAt });
    // Draws of its own, so that the other faults of a seed stay the same.
    const observed = { checks, disturbances, requests, runners };
    const createRandom = (offset: number) => new Random(this.options.seed + offset);
    const poison = new PoisonWorkload({ ...observed, random: createRandom(POISON_SEED_OFFSET) });
    const limits = new LimitWorkload({ ...observed, random: createRandom(LIMIT_SEED_OFFSET) });
    const statements = new StatementWorkload({
      ...observed,
      random: createRandom(STATEMENT_SEED_OFFSET),
    });
    const evacuations = new EvacuationWorkload({
      ...observed,
      controls,
      random: createRandom(EVACUATION_SEED_OFFSET),
    });
    const cold = new ColdWorkload({ ...observed, random: createRandom(COLD_SEED_OFFSET) });
    const rotation = new Rotation(entries, random);
    const clients = new ClientWorkload({
      random,
      checks: requests,
      pickEntry: () => rotation.pick(),
      getRelayAddress: (entry) => this.relayAddresses.get(entry) ?? '',
      getSharedParts: () => poison.getSharedParts(),
    });
    const common = { random, checks, disturbances };
    const operators = new OperatorWorkload({ ...common, controls, entries, clients, startedAt });
    const faults = new GatewayFaults({
      ...common,
      cluster,
      relays,
      runners,
      operators,
      schedule,
      signals,
      graceMs,
    });
    const endStart = disturbances.begin(CORE, 'start');
    await operators.change();
    endStart();
    await runners.start(getServices(this.options.runners ?? DEFAULT_RUNNERS));
    await waitUntilReady(entries);
    let areFaultsOver = false;
    let isDone = false;
    const isOver = (): boolean => isDone;
    const clientCount = Math.max(MIN_CLIENTS, entries.length * CLIENTS_PER_ENTRY);
    const workloads = [
      rotation.run(isOver),
      runners.runHeartbeats(isOver),
      clients.run(this.options.clients ?? clientCount, isOver),
      operators.runReads(isOver),
      operators.runProbes(isOver),
      poison.run(isOver),
      limits.run(isOver),
      statements.run(isOver),
      evacuations.run(() => areFaultsOver),
      cold.run(isOver),
      runEvaluation(requests, runners, isOver),
      this.observePauses(isOver),
    ];
    const endAt = performance.now() + this.options.minutes * 60_000;
    await schedule.run(faults.createKinds(), FAULT_INTERVAL_MS, () => performance.now() > endAt);
    areFaultsOver = true;
    const faultsEndedAt = performance.now();
    await sleep(BOUNDS.recoveryMs + FINAL_LOAD_MS);
    await operators.checkFinal();
    isDone = true;
    await Promise.all(workloads);
    requests.addRuns(runners.takeRequests());
    requests.finish();
    faults.finish();
    poison.finish();
    limits.finish();
    statements.finish();
    evacuations.finish();
    cold.finish();
    const underFaults = requests.getServedShare(startedAt, faultsEndedAt);
    const afterwards = requests.getServedShare(faultsEndedAt + BOUNDS.recoveryMs);
    checks.check(
      'served-after-the-faults',
      afterwards >= SERVED_SHARE || underFaults < SERVED_SHARE,
      () => `${afterwards} of the requests`,
    );
    this.checkProcesses();
    return {
      seed: this.options.seed,
      minutes: this.options.minutes,
      graceSeconds: this.graceSeconds,
      processes: controls.length + entries.length,
      faults: schedule.injected,
      requests: requests.results,
      servedShares: { underFaults, afterwards },
      acknowledgedConfigurations: operators.acknowledgedCount,
      longestHarnessPauseMs: Math.round(this.longestPauseMs),
      runnersEndedByPrompts: runners.crashes.length,
      checks: checks.counts,
      violations: checks.violations,
    };
  }

  /** Records pauses of this process, as on a busy machine. */
  private async observePauses(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const dueAt = performance.now() + PAUSE_POLL_MS;
      await sleep(PAUSE_POLL_MS);
      const lateMs = performance.now() - dueAt;
      this.longestPauseMs = Math.max(this.longestPauseMs, lateMs);
      if (lateMs > MIN_PAUSE_MS) this.disturbances.recordHarnessPause(lateMs);
    }
  }

  private checkProcesses(): void {
    const { controls, entries } = this.cluster;
    [...controls, ...entries].forEach(({ name, child }) => {
      const isHealthy = child.isRunning && child.unexpectedExits === 0;
      this.checks.check('process-never-died-by-itself', isHealthy, () => name);
    });
  }

  private async startRelays(): Promise<void> {
    const { entries } = this.cluster;
    const ports = await getFreePorts(entries.length, OTHER_HOST);
    for (const [index, entry] of entries.entries()) {
      const [host = '', port] = entry.address.split(':');
      const relay = new Relay({ host, port: Number(port) });
      const relayPort = ports[index] ?? 0;
      await relay.start(relayPort, OTHER_HOST);
      this.relays.set(entry, relay);
      this.relayAddresses.set(entry, `${OTHER_HOST}:${relayPort}`);
    }
  }
}

/** Gets the services of the runners: half of them serve models, the others the remaining services. */
function getServices(count: number): string[] {
  const calls = [SERVICES.orders, SERVICES.spare];
  return Array.from({ length: count }, (_, index) =>
    index % 2 === 0 ? SERVICES.models : (calls[((index - 1) / 2) % calls.length] ?? ''),
  );
}

async function runEvaluation(
  requests: RequestChecks,
  runners: RunnerFleet,
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    await sleep(EVALUATION_INTERVAL_MS);
    requests.addRuns(runners.takeRequests());
    requests.evaluate();
  }
}

async function waitUntilReady(entries: GatewayProcess[]): Promise<void> {
  const endAt = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < endAt) {
    const areReady = await Promise.all(entries.map(isReady));
    if (areReady.every(Boolean)) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error('the entry processes did not become ready');
}
