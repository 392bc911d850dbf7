import { rm } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import type { GatewayCluster, GatewayProcess, Relay } from '../harness/index.js';
import type { Random } from '../load/index.js';
import type { FaultKind, FaultSchedule } from '../prove/FaultSchedule.js';
import type { Checks } from '../prove/Checks.js';
import type { RunnerBehaviour } from '../runner/index.js';
import { BOUNDS } from './Bounds.js';
import { CORE } from './Disturbances.js';
import type { Disturbances } from './Disturbances.js';
import type { OperatorWorkload } from './OperatorWorkload.js';
import type { PlannedSignal } from './RequestChecks.js';
import { isReady } from './Rotation.js';
import { crashRunner } from './RunnerFleet.js';
import type { RunnerFleet, RunnerSlot } from './RunnerFleet.js';

/** Options of {@link GatewayFaults}. */
export interface GatewayFaultsOptions {
  cluster: GatewayCluster;
  /** Relays between clients and entry processes. */
  relays: Map<GatewayProcess, Relay>;
  runners: RunnerFleet;
  operators: OperatorWorkload;
  schedule: FaultSchedule;
  random: Random;
  disturbances: Disturbances;
  signals: PlannedSignal[];
  checks: Checks;
  graceMs: number;
}

const PAUSE_MS: [number, number] = [300, 5000];
const DOWNTIME_MS: [number, number] = [100, 3000];
const LINK_FAULT_MS: [number, number] = [500, 4000];
const DELAY_MS: [number, number] = [20, 400];
const BEHAVIOUR_MS: [number, number] = [500, 4000];
const HANGUP_COUNT: [number, number] = [1, 4];
const HANGUP_INTERVAL_MS: [number, number] = [50, 800];
const ROLL_INTERVAL_MS: [number, number] = [500, 4000];
/** Time after its departure for which a runner goes on, beyond the bound for new requests. */
const DEPARTURE_EXTRA_MS: [number, number] = [1000, 4000];
/** Time in which a wiped control process gets its state back and takes the place of its old voter. */
const REJOIN_MS = 6000;
/** Time after SIGTERM at which an entry process must have left the rotation. */
const ROTATION_LIMIT_MS = 4000;
/** Share of the kinds of faults that a seed chooses. */
const CHOSEN_SHARE = 0.5;
const ALWAYS_CHOSEN = ['stop-entry', 'change-configuration'];
const WRONG_BEHAVIOURS: RunnerBehaviour[] = [
  'stalled',
  'reset',
  'full',
  'failing',
  'unresponsive',
  'answerLost',
  'truncating',
  'garbled',
  'duplicating',
  'late',
];

/** Faults that are injected into the processes and links of the gateway, and into runners. */
export class GatewayFaults {
  private stoppedCount = 0;

  private stillReadyCount = 0;

  constructor(private readonly options: GatewayFaultsOptions) {}

  /**
   * Creates the kinds of faults of the run. Each seed leaves some out, since a fault that is always
   * present hides what the others do alone.
   */
  createKinds(): FaultKind[] {
    const { random } = this.options;
    return this.createAllKinds().filter(({ name }) => {
      const isChosen = random.next() < CHOSEN_SHARE;
      return isChosen || ALWAYS_CHOSEN.includes(name);
    });
  }

  private createAllKinds(): FaultKind[] {
    const { operators } = this.options;
    return [
      {
        name: 'stop-entry',
        weight: 4,
        inject: () => this.onEntry((one) => this.stopAndStart(one)),
      },
      { name: 'roll-entries', weight: 1, inject: () => this.rollEntries() },
      { name: 'kill-entry', weight: 2, inject: () => this.onEntry((one) => this.killOne(one)) },
      { name: 'kill-entries', weight: 0.5, inject: () => this.killSeveral() },
      { name: 'pause-entry', weight: 2, inject: () => this.onEntry((one) => this.pause(one)) },
      { name: 'pause-then-stop-entry', weight: 1, inject: () => this.pauseThenStop() },
      { name: 'change-settings', weight: 3, inject: () => this.changeSettings() },
      { name: 'kill-control', weight: 2, inject: () => this.onControl((one) => this.killOne(one)) },
      {
        name: 'stop-control',
        weight: 1,
        inject: () => this.onControl((one) => this.stopControl(one)),
      },
      { name: 'pause-control', weight: 2, inject: () => this.onControl((one) => this.pause(one)) },
      { name: 'wipe-control', weight: 1, inject: () => this.wipeControl() },
      { name: 'kill-all-controls', weight: 0.3, inject: () => this.killAllControls() },
      { name: 'disturb-client-link', weight: 2, inject: () => this.disturbClientLink() },
      { name: 'disturb-runner-link', weight: 3, inject: () => this.disturbRunnerLink() },
      { name: 'crash-runner', weight: 2, inject: () => this.onRunner((slot) => this.crash(slot)) },
      { name: 'runner-leaves', weight: 3, inject: () => this.onRunner((slot) => this.leave(slot)) },
      {
        name: 'wrong-runner',
        weight: 5,
        inject: () => this.onRunner((slot) => this.misbehave(slot)),
      },
      { name: 'change-configuration', weight: 4, inject: () => operators.change() },
      { name: 'configuration-race', weight: 2, inject: () => operators.changeConcurrently() },
      { name: 'configuration-storm', weight: 1, inject: () => operators.changeInQuickSuccession() },
      { name: 'resend-configuration', weight: 1, inject: () => operators.resend() },
      { name: 'alter-configuration', weight: 1, inject: () => operators.alter() },
      { name: 'invalid-configuration', weight: 1, inject: () => operators.submitInvalid() },
    ];
  }

  /** Checks over all stops that entry processes leave the rotation in time. */
  finish(): void {
    const { stoppedCount, stillReadyCount } = this;
    this.options.checks.check(
      'stopping-entry-leaves-rotation',
      stillReadyCount < 2 || stillReadyCount <= stoppedCount / 4,
      () => `${stillReadyCount} of ${stoppedCount} were ready after ${ROTATION_LIMIT_MS} ms`,
    );
  }

  private async onEntry(run: (entry: GatewayProcess) => Promise<void>): Promise<void> {
    await this.options.schedule.injectIntoOne(this.options.cluster.entries, run);
  }

  /** Injects a fault into a control process; at most as many at a time as may be lost. */
  private async onControl(run: (control: GatewayProcess) => Promise<void>): Promise<void> {
    const { cluster, schedule } = this.options;
    const { controls } = cluster;
    const faultedCount = controls.filter((control) => schedule.faulted.has(control)).length;
    if (faultedCount >= Math.floor((controls.length - 1) / 2)) return;
    await schedule.injectIntoOne(controls, run);
  }

  private async onRunner(run: (slot: RunnerSlot) => Promise<void>): Promise<void> {
    await this.options.schedule.injectIntoOne(this.options.runners.slots, run);
  }

  /** Stops an entry process by SIGTERM, and starts it again after its exit. */
  private async stopAndStart(entry: GatewayProcess): Promise<void> {
    const { graceMs, signals, disturbances } = this.options;
    const wasReady = await isReady(entry);
    const end = disturbances.begin(entry.name, 'SIGTERM');
    const { lifetime, name } = entry;
    signals.push({ signal: 'SIGTERM', entry: name, lifetime, sentAt: performance.now() });
    if (wasReady) this.observeRotation(entry).catch(() => undefined);
    await entry.child.stop(graceMs);
    end();
    const endDowntime = disturbances.begin(name, 'restart');
    await this.options.schedule.sleepWithin(DOWNTIME_MS);
    await this.options.cluster.startProcess(entry);
    endDowntime();
  }

  private async observeRotation(entry: GatewayProcess): Promise<void> {
    const { lifetime } = entry;
    await sleep(ROTATION_LIMIT_MS);
    if (entry.lifetime !== lifetime || !entry.child.isRunning) return;
    this.stoppedCount += 1;
    if (await isReady(entry)) this.stillReadyCount += 1;
  }

  /** Stops all entry processes in turn; the stops overlap. */
  private async rollEntries(): Promise<void> {
    const { schedule, cluster } = this.options;
    const stops: Promise<void>[] = [];
    for (let count = 0; count < cluster.entries.length; count += 1) {
      stops.push(this.onEntry((entry) => this.stopAndStart(entry)));
      await schedule.sleepWithin(ROLL_INTERVAL_MS);
    }
    await Promise.all(stops);
  }

  private async killOne(target: GatewayProcess): Promise<void> {
    const { cluster, schedule } = this.options;
    const end = this.beginDisturbance(target, 'kill');
    await target.child.kill();
    await schedule.sleepWithin(DOWNTIME_MS);
    await cluster.startProcess(target);
    end();
  }

  private async killSeveral(): Promise<void> {
    const count = Math.ceil(this.options.cluster.entries.length / 2);
    await Promise.all(
      Array.from({ length: count }, () => this.onEntry((entry) => this.killOne(entry))),
    );
  }

  private async killAllControls(): Promise<void> {
    const { cluster, schedule } = this.options;
    const controls = cluster.controls.filter((control) => !schedule.faulted.has(control));
    controls.forEach((control) => schedule.faulted.add(control));
    await Promise.all(controls.map((control) => this.killOne(control)));
    controls.forEach((control) => schedule.faulted.delete(control));
  }

  private async pause(target: GatewayProcess): Promise<void> {
    const end = this.beginDisturbance(target, 'pause');
    target.child.suspend();
    await this.options.schedule.sleepWithin(PAUSE_MS);
    target.child.resume();
    end();
  }

  private async pauseThenStop(): Promise<void> {
    await this.onEntry(async (entry) => {
      await this.pause(entry);
      await this.stopAndStart(entry);
    });
  }

  private async stopControl(control: GatewayProcess): Promise<void> {
    const end = this.beginDisturbance(control, 'SIGTERM');
    await control.child.stop(this.options.graceMs);
    await this.options.schedule.sleepWithin(DOWNTIME_MS);
    await this.options.cluster.startProcess(control);
    end();
  }

  private async wipeControl(): Promise<void> {
    await this.onControl(async (control) => {
      const { cluster, schedule } = this.options;
      if (schedule.faulted.has(this.wipeControl)) return;
      schedule.faulted.add(this.wipeControl);
      const end = this.beginDisturbance(control, 'wipe');
      await control.child.kill();
      await rm(control.dataFolder, { recursive: true, force: true });
      await schedule.sleepWithin(DOWNTIME_MS);
      await cluster.startProcess(control);
      end();
      await sleep(REJOIN_MS);
      schedule.faulted.delete(this.wipeControl);
    });
  }

  /** Changes the settings file of any process, and sends SIGHUP in quick succession, or none. */
  private async changeSettings(): Promise<void> {
    const { cluster, random, schedule, signals } = this.options;
    const target = random.pick([...cluster.controls, ...cluster.entries]);
    const count = random.nextInteger(0, 1) * random.nextInteger(...HANGUP_COUNT);
    const seeds = cluster.controls.map((_, index) => index).filter(() => random.next() < 0.7);
    await cluster.changeSeeds(target, seeds.length > 0 ? seeds : [0]);
    for (let sent = 0; sent < count && target.child.isRunning; sent += 1) {
      const { name, lifetime } = target;
      signals.push({ signal: 'SIGHUP', entry: name, lifetime, sentAt: performance.now() });
      target.child.hangUp();
      await schedule.sleepWithin(HANGUP_INTERVAL_MS);
    }
  }

  private async disturbClientLink(): Promise<void> {
    await this.onEntry(async (entry) => {
      const relay = this.options.relays.get(entry);
      if (relay) await this.disturbLink(entry.name, relay);
    });
  }

  private async disturbRunnerLink(): Promise<void> {
    await this.onRunner((slot) => this.disturbLink(slot.name, slot.relay));
  }

  private async disturbLink(target: string, relay: Relay): Promise<void> {
    const { random, schedule, disturbances } = this.options;
    const disturb = random.pick([
      () => relay.dropAll(),
      () => relay.dropRequests(),
      () => relay.dropResponses(),
      () => relay.stallOpenConnections(),
      () => relay.resetOpenConnections(),
      () => relay.delay(random.nextInteger(...DELAY_MS)),
    ]);
    const end = disturbances.begin(target, 'link');
    disturb();
    await schedule.sleepWithin(LINK_FAULT_MS);
    // Connections that lack some of their data must not go on.
    relay.resetOpenConnections();
    relay.restore();
    end();
  }

  private async crash(slot: RunnerSlot): Promise<void> {
    const { runners, random, schedule } = this.options;
    const id = slot.current?.runner.id;
    crashRunner(slot);
    await schedule.sleepWithin(DOWNTIME_MS);
    await runners.startRunner(slot, random.next() < 0.5 ? id : undefined);
  }

  /** Lets a runner leave with or without draining; it serves on for a while before it exits. */
  private async leave(slot: RunnerSlot): Promise<void> {
    const { runners, random, schedule } = this.options;
    const drains = random.next() < 0.6;
    const id = slot.current?.runner.id;
    const isAcknowledged = await runners.announceDeparture(slot, drains);
    if (isAcknowledged) await sleep(BOUNDS.drainMs);
    await schedule.sleepWithin(DEPARTURE_EXTRA_MS);
    if (drains) await runners.announceDeparture(slot, false);
    crashRunner(slot);
    await schedule.sleepWithin(DOWNTIME_MS);
    await runners.startRunner(slot, random.next() < 0.3 ? id : undefined);
  }

  private async misbehave(slot: RunnerSlot): Promise<void> {
    const { random, schedule } = this.options;
    const runner = slot.current?.runner;
    if (!runner) return;
    runner.behaviour = random.pick(WRONG_BEHAVIOURS);
    await schedule.sleepWithin(BEHAVIOUR_MS);
    runner.behaviour = 'normal';
  }

  private beginDisturbance(target: GatewayProcess, kind: string): () => void {
    const isControl = this.options.cluster.controls.includes(target);
    return this.options.disturbances.begin(isControl ? CORE : target.name, kind);
  }
}
