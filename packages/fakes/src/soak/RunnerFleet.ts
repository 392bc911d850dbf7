import { setTimeout as sleep } from 'node:timers/promises';
import { getFreePorts, OTHER_HOST, Relay } from '../harness/index.js';
import type { GatewayProcess } from '../harness/index.js';
import type { Random } from '../load/index.js';
import { FakeRunner } from '../runner/index.js';
import type { RecordedRequest } from '../runner/index.js';
import { ENGINE_CAPACITY, ENGINE_PROFILE } from './configuration.js';

/** One lifetime of a runner. */
export interface RunnerLifetime {
  runner: FakeRunner;
  /** Name of the slot, under which disturbances of the runner and its link are recorded. */
  slot: string;
  service: string;
  dataCentre: string;
  /** Monotonic time at which a control process acknowledged that the runner drains or is gone. */
  departureAcknowledgedAt: number | undefined;
  hasCrashed: boolean;
}

/** Place for a runner: its address and relay stay the same over its lifetimes. */
export interface RunnerSlot {
  name: string;
  service: string;
  dataCentre: string;
  relay: Relay;
  relayAddress: string;
  current: RunnerLifetime | undefined;
  /** False while the runner is silent, as one that crashed or leaves. */
  isAnnouncing: boolean;
}

/** A request that a runner has received. */
export interface RunnerRequest {
  lifetime: RunnerLifetime;
  record: RecordedRequest;
}

/** Data centres of runners; the first one has most of them. */
export const RUNNER_DATA_CENTRES = ['a', 'b'] as const;
/** Share of the runners in the first data centre. */
const FIRST_SHARE = 2 / 3;
const HEARTBEAT_MS = 1000;
const TOKENS_PER_EVENT = 34;
const WORK_MS = 40;
const CRASH_DOWNTIME_MS = 1500;
const ANNOUNCEMENT_ATTEMPTS = 10;
const ANNOUNCEMENT_RETRY_MS = 300;

/** The runners of a soak, which announce themselves to random control processes. */
export class RunnerFleet {
  readonly slots: RunnerSlot[] = [];

  /** Ids of the prompt parts that end runners. */
  readonly deadlyParts = new Set<string>();

  /** Monotonic times at which a prompt with a deadly part has ended a runner. */
  readonly crashes: { parts: string; at: number }[] = [];

  private readonly lifetimes: RunnerLifetime[] = [];

  /** Number of requests of each lifetime that `takeRequests` has returned. */
  private readonly takenCounts = new Map<RunnerLifetime, number>();

  private startCount = 0;

  private isStopped = false;

  constructor(
    private readonly controls: GatewayProcess[],
    private readonly random: Random,
  ) {}

  /** Starts a runner for each of the services. */
  async start(services: string[]): Promise<void> {
    const ports = await getFreePorts(services.length, OTHER_HOST);
    for (const [index, service] of services.entries()) {
      const relayPort = ports[index] ?? 0;
      const relay = new Relay({ host: OTHER_HOST, port: 0 });
      await relay.start(relayPort, OTHER_HOST);
      const relayAddress = `${OTHER_HOST}:${relayPort}`;
      const name = `runner-${index}`;
      const isFirst = index < services.length * FIRST_SHARE;
      const dataCentre = RUNNER_DATA_CENTRES[isFirst ? 0 : 1];
      const slot = { name, service, dataCentre, relay, relayAddress, current: undefined };
      this.slots.push({ ...slot, isAnnouncing: false });
    }
    await Promise.all(this.slots.map((slot) => this.startRunner(slot)));
  }

  /** Starts a runner at a slot, under a new id or the one it had; it may be cold at first. */
  async startRunner(slot: RunnerSlot, id = this.createId(), coldMs = 0): Promise<RunnerLifetime> {
    const runner = await FakeRunner.start({
      id,
      service: slot.service,
      dataCentre: slot.dataCentre,
      profile: ENGINE_PROFILE,
      tokensPerEvent: TOKENS_PER_EVENT,
      workMs: WORK_MS,
      capacity: ENGINE_CAPACITY,
      announcedAddress: slot.relayAddress,
      host: OTHER_HOST,
      deadlyParts: this.deadlyParts,
      onCrash: (parts) => {
        this.crashes.push({ parts, at: performance.now() });
        this.restartAfterCrash(slot).catch(() => undefined);
      },
    });
    runner.coldUntil = performance.now() + coldMs;
    const [host = '', port] = runner.address.split(':');
    slot.relay.retarget({ host, port: Number(port) });
    const lifetime: RunnerLifetime = {
      runner,
      slot: slot.name,
      service: slot.service,
      dataCentre: slot.dataCentre,
      departureAcknowledgedAt: undefined,
      hasCrashed: false,
    };
    this.lifetimes.push(lifetime);
    Object.assign(slot, { current: lifetime, isAnnouncing: true });
    await this.announce(slot);
    return lifetime;
  }

  /** Announces the running runners until the run is over. */
  async runHeartbeats(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      this.slots
        .filter(({ isAnnouncing }) => isAnnouncing)
        .forEach((slot) => {
          this.tell((control) => slot.current?.runner.announce(control)).catch(() => undefined);
        });
      await sleep(HEARTBEAT_MS);
    }
  }

  /** Announces a departure and records its acknowledgement; false if there was none. */
  async announceDeparture(slot: RunnerSlot, isDraining: boolean): Promise<boolean> {
    const { current } = slot;
    if (!current) return false;
    Object.assign(slot, { isAnnouncing: false });
    const { runner } = current;
    for (let attempt = 0; attempt < ANNOUNCEMENT_ATTEMPTS; attempt += 1) {
      const isAcknowledged = await this.tell((control) =>
        isDraining ? runner.announce(control, 'draining') : runner.leave(control),
      ).then(
        () => true,
        () => false,
      );
      if (isAcknowledged) {
        current.departureAcknowledgedAt ??= performance.now();
        return true;
      }
      await sleep(ANNOUNCEMENT_RETRY_MS);
    }
    return false;
  }

  /** Gets the requests that arrived since the last call. */
  takeRequests(): RunnerRequest[] {
    return this.lifetimes.flatMap((lifetime) => {
      const records = lifetime.runner.recordedRequests;
      const taken = this.takenCounts.get(lifetime) ?? 0;
      this.takenCounts.set(lifetime, records.length);
      return records.slice(taken).map((record) => ({ lifetime, record }));
    });
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    this.slots.forEach((slot) => slot.current?.runner.stop());
    await Promise.all(this.slots.map(({ relay }) => relay.stop()));
  }

  /** Starts a runner again that a prompt has ended; meanwhile its address refuses connections. */
  private async restartAfterCrash(slot: RunnerSlot): Promise<void> {
    const { relay, relayAddress, current } = slot;
    crashRunner(slot);
    await relay.stop();
    await sleep(CRASH_DOWNTIME_MS);
    if (this.isStopped) return;
    await relay.start(Number(relayAddress.split(':')[1]), OTHER_HOST);
    // Another fault may have started one since.
    if (slot.current === undefined || slot.current === current) await this.startRunner(slot);
  }

  private createId(): string {
    this.startCount += 1;
    return `i-${this.startCount}`;
  }

  private async announce(slot: RunnerSlot): Promise<void> {
    for (let attempt = 0; attempt < ANNOUNCEMENT_ATTEMPTS; attempt += 1) {
      try {
        await this.tell((control) => slot.current?.runner.announce(control));
        return;
      } catch {
        await sleep(ANNOUNCEMENT_RETRY_MS);
      }
    }
  }

  private async tell(call: (control: string) => Promise<void> | undefined): Promise<void> {
    await call(this.random.pick(this.controls).address);
  }
}

/** Ends a runner without a word. */
export function crashRunner(slot: RunnerSlot): void {
  const { current } = slot;
  if (!current) return;
  Object.assign(slot, { current: undefined, isAnnouncing: false });
  current.hasCrashed = true;
  current.runner.stop();
}
