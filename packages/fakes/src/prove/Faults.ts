import { rm } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { UpstreamPath } from '@azurecart/protocol';
import { UPSTREAM_SECRET } from '../harness/index.js';
import type { ChildProcess, Fleet, FleetMember } from '../harness/index.js';
import type { Random } from '../load/index.js';
import type { Releases } from './Releases.js';

/** What faults are made on. */
export interface FaultsOptions {
  fleet: Fleet;
  random: Random;
  releases: Releases;
  engines: { child: ChildProcess; url: string }[];
  services: { child: ChildProcess; url: string }[];
}

interface Fault {
  name: string;
  weight: number;
  make: () => Promise<void>;
}

/** Longer than any lease, so that a woken process finds its leases ended. */
const FREEZE_MS: [number, number] = [3000, 6000];
const CUT_MS: [number, number] = [1000, 5000];
const DOWN_MS: [number, number] = [200, 3000];
const DELAY_MS: [number, number] = [500, 8000];
const POST_TIMEOUT_MS = 5000;
const BURST = 50;

/** Makes faults drawn from the seed, several at the same time. */
export class Faults {
  readonly made: Record<string, number> = {};

  /** Entry processes that get no new requests, as the balancer would see to. */
  readonly leaving = new Set<FleetMember>();

  /** Entry processes that are ending in good order just now. */
  readonly stopping = new Set<FleetMember>();

  private readonly busy = new Set<unknown>();

  private readonly faults: Fault[];

  constructor(private readonly options: FaultsOptions) {
    this.faults = this.createFaults();
  }

  /** Makes one fault, and puts it right after a while. */
  async makeNext(): Promise<void> {
    const total = this.faults.reduce((sum, { weight }) => sum + weight, 0);
    let left = this.options.random.next() * total;
    const fault = this.faults.find(({ weight }) => {
      left -= weight;
      return left <= 0;
    });
    if (!fault) return;
    this.made[fault.name] = (this.made[fault.name] ?? 0) + 1;
    await fault.make();
  }

  private createFaults(): Fault[] {
    const { fleet, engines, services } = this.options;
    const { entries } = fleet;
    return [
      { name: 'kill-engine', weight: 3, make: () => this.kill(engines.map(({ child }) => child)) },
      {
        name: 'kill-service',
        weight: 2,
        make: () => this.kill(services.map(({ child }) => child)),
      },
      { name: 'kill-entry', weight: 2, make: () => this.kill(entries.map((each) => each.process)) },
      { name: 'kill-control', weight: 2, make: () => this.onControl((one) => this.bounce(one)) },
      { name: 'stop-entry', weight: 2, make: () => this.stopEntry() },
      { name: 'freeze-engine', weight: 2, make: () => this.freeze(engines.map((e) => e.child)) },
      { name: 'freeze-entry', weight: 2, make: () => this.freeze(entries.map((e) => e.process)) },
      { name: 'freeze-control', weight: 2, make: () => this.onControl((one) => this.pause(one)) },
      { name: 'wipe-control', weight: 1, make: () => this.wipe() },
      { name: 'cut-link', weight: 2, make: () => this.cut((relay) => relay.cut()) },
      { name: 'cut-answers', weight: 2, make: () => this.cut((relay) => relay.cutAnswers()) },
      { name: 'silence-open', weight: 2, make: () => this.cut((relay) => relay.silenceOpen()) },
      { name: 'race-operators', weight: 3, make: () => this.options.releases.race() },
      { name: 'release-burst', weight: 0.5, make: () => this.options.releases.burst(BURST) },
      { name: 'engine-leaves', weight: 1, make: () => this.leave(engines) },
      { name: 'service-leaves', weight: 1, make: () => this.leave(services) },
      { name: 'delay-announcement', weight: 3, make: () => this.delayAnnouncement() },
    ];
  }

  private async kill(children: ChildProcess[]): Promise<void> {
    await this.on(children, (child) => this.bounce(child));
  }

  private async freeze(children: ChildProcess[]): Promise<void> {
    await this.on(children, (child) => this.pause(child));
  }

  private async bounce(child: ChildProcess): Promise<void> {
    await child.kill();
    await this.wait(DOWN_MS);
    child.start();
  }

  private async pause(child: ChildProcess): Promise<void> {
    child.freeze();
    await this.wait(FREEZE_MS);
    child.wake();
  }

  /** At most one control process is down at a time, so that a quorum is left. */
  private async onControl(run: (child: ChildProcess) => Promise<void>): Promise<void> {
    if (this.busy.has('control')) return;
    this.busy.add('control');
    await run(this.options.random.pick(this.options.fleet.controls).process);
    await this.waitForVoters();
    this.busy.delete('control');
  }

  /** Wipes a control process, and right after its repair takes a second one away. */
  private async wipe(): Promise<void> {
    if (this.busy.has('control')) return;
    this.busy.add('control');
    const { controls } = this.options.fleet;
    const wiped = this.options.random.pick(controls);
    const { members } = await this.options.fleet.getStatus();
    const lostId = members.find((member) => member.name === wiped.vm)?.id;
    await wiped.process.kill();
    await rm(wiped.dataFolder, { recursive: true, force: true });
    wiped.process.start();
    await this.waitForVoters(lostId);
    await this.bounce(this.options.random.pick(controls.filter((each) => each !== wiped)).process);
    await this.waitForVoters();
    this.busy.delete('control');
  }

  /** Waits until three voters hold all that is committed, none of them under a lost identity. */
  private async waitForVoters(lostId = 'none'): Promise<void> {
    for (let attempt = 0; attempt < 300; attempt += 1) {
      const status = await this.options.fleet.getStatus().catch(() => undefined);
      const members = status?.members ?? [];
      const isWhole = members.length === 3 && members.every((member) => member.voter);
      const isLevel = members.every((member) => member.matchIndex >= (status?.commitIndex ?? 0n));
      if (isWhole && isLevel && members.every((member) => member.id !== lostId)) return;
      await sleep(100);
    }
    throw new Error('control did not become whole again');
  }

  private async stopEntry(): Promise<void> {
    const { entries } = this.options.fleet;
    await this.on(entries, async (entry) => {
      if (this.busy.has(entry.process)) return;
      this.busy.add(entry.process);
      this.leaving.add(entry);
      this.stopping.add(entry);
      await entry.process.stop();
      this.stopping.delete(entry);
      entry.process.start();
      await sleep(2000);
      this.leaving.delete(entry);
      this.busy.delete(entry.process);
    });
  }

  private async cut(make: (relay: NonNullable<FleetMember['relay']>) => void): Promise<void> {
    const { controls, entries } = this.options.fleet;
    const member = this.options.random.pick([...controls, ...entries]);
    if (!member.relay || this.busy.has(member.relay)) return;
    this.busy.add(member.relay);
    make(member.relay);
    await this.wait(CUT_MS);
    member.relay.heal();
    this.busy.delete(member.relay);
  }

  /** Posts an engine's announcement late and twice, whatever became of the engine meanwhile. */
  private async delayAnnouncement(): Promise<void> {
    const { random, engines, fleet } = this.options;
    const engine = random.pick(engines);
    const response = await fetch(`${engine.url}/fake/announcement`).catch(() => undefined);
    const body = await response?.text().catch(() => undefined);
    if (body === undefined) return;
    await this.wait(DELAY_MS);
    for (const url of [random.pick(fleet.entryUrls), random.pick(fleet.entryUrls)]) {
      await fetch(url + UpstreamPath.announce, {
        method: 'POST',
        body,
        headers: { authorization: `Bearer ${UPSTREAM_SECRET}` },
        signal: AbortSignal.timeout(POST_TIMEOUT_MS),
      }).catch(() => undefined);
    }
  }

  private async leave(upstreams: { child: ChildProcess; url: string }[]): Promise<void> {
    await this.on(upstreams, async ({ child, url }) => {
      if (this.busy.has(child)) return;
      this.busy.add(child);
      await fetch(`${url}/fake/leave`).catch(() => undefined);
      await sleep(6000);
      await child.kill();
      child.start();
      this.busy.delete(child);
    });
  }

  /** Runs a fault on a member that has none now. */
  private async on<T>(members: T[], run: (member: T) => Promise<void>): Promise<void> {
    const free = members.filter((member) => !this.busy.has(member));
    if (free.length === 0) return;
    const member = this.options.random.pick(free);
    this.busy.add(member);
    await run(member);
    this.busy.delete(member);
  }

  private async wait([from, to]: [number, number]): Promise<void> {
    await sleep(this.options.random.nextInteger(from, to));
  }
}
