import { rm } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { UpstreamPath } from '@azurecart/protocol';
import { UPSTREAM_SECRET } from '../harness/index.js';
import type { ChildProcess, Fleet, FleetProcess } from '../harness/index.js';
import type { Random } from '../load/index.js';
import { FaultSchedule } from './FaultSchedule.js';
import type { FaultKind } from './FaultSchedule.js';
import type { ReleaseWorkload } from './ReleaseWorkload.js';

/** Components that faults are injected into, and the source of randomness. */
export interface FaultInjectorOptions {
  fleet: Fleet;
  random: Random;
  releases: ReleaseWorkload;
  engines: { child: ChildProcess; url: string }[];
  services: { child: ChildProcess; url: string }[];
}

/**
 * Exceeds the default 2,500 ms of the session lease (`leaseMs`) and of announcements
 * (`announcementTtlMs`), so that a resumed process finds them expired.
 */
const FREEZE_DURATION_MS: [number, number] = [3000, 6000];
const LINK_FAULT_DURATION_MS: [number, number] = [1000, 5000];
const DOWNTIME_MS: [number, number] = [200, 3000];
const ANNOUNCEMENT_DELAY_MS: [number, number] = [500, 8000];
const POST_TIMEOUT_MS = 5000;
const BURST_SIZE = 50;
const MAX_STATUS_CHECKS = 300;
const STATUS_CHECK_INTERVAL_MS = 100;

/** Injects faults into the processes of a fleet. */
export class FaultInjector {
  /** Entry processes that get no new requests, as behind a load balancer. */
  readonly outOfRotation = new Set<FleetProcess>();

  /** Entry processes in the middle of a graceful shutdown. */
  readonly stopping = new Set<FleetProcess>();

  /**
   * Components with an active fault: child processes, entry processes of the fleet, relays and
   * upstreams; `control` stands for the control cluster. A component can be present both as a child
   * process and as the entry process or upstream that it belongs to.
   */
  private readonly faulted: Set<unknown>;

  private readonly schedule: FaultSchedule;

  constructor(private readonly options: FaultInjectorOptions) {
    this.schedule = new FaultSchedule(options.random);
    this.faulted = this.schedule.faulted;
  }

  /** Number of chosen faults by name. */
  get injected(): Record<string, number> {
    return this.schedule.injected;
  }

  /**
   * Injects faults until the run is over, and reverts them, in most cases after a random time.
   * Submitted releases and delayed announcements are not reverted.
   */
  async run(interval: [number, number], isOver: () => boolean): Promise<void> {
    await this.schedule.run(this.createKinds(), interval, isOver);
  }

  private createKinds(): FaultKind[] {
    const { fleet, engines, services } = this.options;
    const { entries } = fleet;
    return [
      {
        name: 'kill-engine',
        weight: 3,
        inject: () => this.killOne(engines.map(({ child }) => child)),
      },
      {
        name: 'kill-service',
        weight: 2,
        inject: () => this.killOne(services.map(({ child }) => child)),
      },
      {
        name: 'kill-entry',
        weight: 2,
        inject: () => this.killOne(entries.map((each) => each.process)),
      },
      {
        name: 'kill-control',
        weight: 2,
        inject: () => this.injectIntoControl((one) => this.killAndRestart(one)),
      },
      { name: 'stop-entry', weight: 2, inject: () => this.stopEntry() },
      {
        name: 'freeze-engine',
        weight: 2,
        inject: () => this.freezeOne(engines.map((e) => e.child)),
      },
      {
        name: 'freeze-entry',
        weight: 2,
        inject: () => this.freezeOne(entries.map((e) => e.process)),
      },
      {
        name: 'freeze-control',
        weight: 2,
        inject: () => this.injectIntoControl((one) => this.freezeAndResume(one)),
      },
      { name: 'wipe-control', weight: 1, inject: () => this.wipeControl() },
      { name: 'cut-link', weight: 2, inject: () => this.disturbLink((relay) => relay.dropAll()) },
      {
        name: 'cut-answers',
        weight: 2,
        inject: () => this.disturbLink((relay) => relay.dropResponses()),
      },
      {
        name: 'silence-open',
        weight: 2,
        inject: () => this.disturbLink((relay) => relay.stallOpenConnections()),
      },
      {
        name: 'race-operators',
        weight: 3,
        inject: () => this.options.releases.submitConcurrently(),
      },
      {
        name: 'release-burst',
        weight: 0.5,
        inject: () => this.options.releases.submitBurst(BURST_SIZE),
      },
      { name: 'engine-leaves', weight: 1, inject: () => this.leaveAndRestart(engines) },
      { name: 'service-leaves', weight: 1, inject: () => this.leaveAndRestart(services) },
      { name: 'delay-announcement', weight: 3, inject: () => this.delayAnnouncement() },
    ];
  }

  private async killOne(children: ChildProcess[]): Promise<void> {
    await this.schedule.injectIntoOne(children, (child) => this.killAndRestart(child));
  }

  private async freezeOne(children: ChildProcess[]): Promise<void> {
    await this.schedule.injectIntoOne(children, (child) => this.freezeAndResume(child));
  }

  private async killAndRestart(child: ChildProcess): Promise<void> {
    await child.kill();
    await this.schedule.sleepWithin(DOWNTIME_MS);
    child.start();
  }

  private async freezeAndResume(child: ChildProcess): Promise<void> {
    child.suspend();
    await this.schedule.sleepWithin(FREEZE_DURATION_MS);
    child.resume();
  }

  /**
   * Kills or suspends at most one control process at a time, so that the others form a quorum unless
   * a link fault hits one of them meanwhile.
   */
  private async injectIntoControl(run: (child: ChildProcess) => Promise<void>): Promise<void> {
    if (this.faulted.has('control')) return;
    this.faulted.add('control');
    await run(this.options.random.pick(this.options.fleet.controls).process);
    await this.waitForVoters();
    this.faulted.delete('control');
  }

  /**
   * Deletes the data of a control process, and kills and restarts a second one as soon as the first is
   * a voter again: committed entries must survive both.
   */
  private async wipeControl(): Promise<void> {
    if (this.faulted.has('control')) return;
    this.faulted.add('control');
    const { controls } = this.options.fleet;
    const wiped = this.options.random.pick(controls);
    const { members } = await this.options.fleet.getStatus();
    const wipedId = members.find((member) => member.name === wiped.vm)?.id;
    await wiped.process.kill();
    await rm(wiped.dataFolder, { recursive: true, force: true });
    wiped.process.start();
    await this.waitForVoters(wipedId);
    await this.killAndRestart(
      this.options.random.pick(controls.filter((each) => each !== wiped)).process,
    );
    await this.waitForVoters();
    this.faulted.delete('control');
  }

  /** Waits until three voters hold all committed entries, none of them under the wiped id. */
  private async waitForVoters(wipedId = 'none'): Promise<void> {
    for (let attempt = 0; attempt < MAX_STATUS_CHECKS; attempt += 1) {
      const status = await this.options.fleet.getStatus().catch(() => undefined);
      const members = status?.members ?? [];
      const isComplete = members.length === 3 && members.every((member) => member.voter);
      const isCaughtUp = members.every(
        (member) => member.matchIndex >= (status?.commitIndex ?? 0n),
      );
      if (isComplete && isCaughtUp && members.every((member) => member.id !== wipedId)) return;
      await sleep(STATUS_CHECK_INTERVAL_MS);
    }
    throw new Error(
      `control did not return to three up-to-date voters within ${MAX_STATUS_CHECKS} status checks`,
    );
  }

  private async stopEntry(): Promise<void> {
    const { entries } = this.options.fleet;
    await this.schedule.injectIntoOne(entries, async (entry) => {
      if (this.faulted.has(entry.process)) return;
      this.faulted.add(entry.process);
      this.outOfRotation.add(entry);
      this.stopping.add(entry);
      await entry.process.stop();
      this.stopping.delete(entry);
      entry.process.start();
      await sleep(2000);
      this.outOfRotation.delete(entry);
      this.faulted.delete(entry.process);
    });
  }

  private async disturbLink(
    disturb: (relay: NonNullable<FleetProcess['relay']>) => void,
  ): Promise<void> {
    const { controls, entries } = this.options.fleet;
    const member = this.options.random.pick([...controls, ...entries]);
    if (!member.relay || this.faulted.has(member.relay)) return;
    this.faulted.add(member.relay);
    disturb(member.relay);
    await this.schedule.sleepWithin(LINK_FAULT_DURATION_MS);
    member.relay.restore();
    this.faulted.delete(member.relay);
  }

  /** Delivers an announcement of an engine late and twice, even if the engine has gone by then. */
  private async delayAnnouncement(): Promise<void> {
    const { random, engines, fleet } = this.options;
    const engine = random.pick(engines);
    const response = await fetch(`${engine.url}/fake/announcement`).catch(() => undefined);
    const body = await response?.text().catch(() => undefined);
    if (body === undefined) return;
    await this.schedule.sleepWithin(ANNOUNCEMENT_DELAY_MS);
    for (const url of [random.pick(fleet.entryUrls), random.pick(fleet.entryUrls)]) {
      await fetch(url + UpstreamPath.announce, {
        method: 'POST',
        body,
        headers: { authorization: `Bearer ${UPSTREAM_SECRET}` },
        signal: AbortSignal.timeout(POST_TIMEOUT_MS),
      }).catch(() => undefined);
    }
  }

  private async leaveAndRestart(upstreams: { child: ChildProcess; url: string }[]): Promise<void> {
    await this.schedule.injectIntoOne(upstreams, async ({ child, url }) => {
      if (this.faulted.has(child)) return;
      this.faulted.add(child);
      await fetch(`${url}/fake/leave`).catch(() => undefined);
      await sleep(6000);
      await child.kill();
      child.start();
      this.faulted.delete(child);
    });
  }
}
