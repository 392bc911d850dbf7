import { setTimeout as sleep } from 'node:timers/promises';
import { Ledger } from '@azurecart/scheduling';
import type { Engine, Grant, RefusalReason, Scheduler, Work } from '@azurecart/scheduling';
import type { Release } from '@azurecart/protocol';
import type { Invariants, Logger, Timeline } from '@azurecart/telemetry';
import type { EntrySettings } from '../../settings/index.js';
import type { EngineClient } from '../upstreams/index.js';
import { createScheduler } from './createScheduler.js';
import type {
  AnnounceAnswer,
  AnnounceCall,
  ReleaseCall,
  ReserveAnswer,
  ReserveCall,
  SummaryMessage,
} from './OwnerCalls.js';
import { ShardUpstreams } from './ShardUpstreams.js';
import { summariseShard } from './summariseShard.js';
import { toWork } from './toWork.js';

/** What the owner of a shard needs. */
export interface ShardOwnerOptions {
  shard: string;
  fence: number;
  settings: EntrySettings;
  client: EngineClient;
  getRelease: () => Release | undefined;
  /** Tells, at the moment of use, whether this process still owns the shard. */
  isOwner: () => boolean;
  isSessionOpen: (session: string) => boolean;
  acquireLoad: (upstream: string, model: string) => Promise<boolean>;
  releaseLoad: (upstream: string, model: string) => Promise<void>;
  timeline: Timeline;
  invariants: Invariants;
  logger: Logger;
}

interface Waiting {
  work: Work;
  settle: (answer: ReserveAnswer) => void;
}

const TICK_MS = 10;
const OWNER_CHANGED_RETRY_MS = 100;

/** The one writer of the memory of a shard's engines. */
export class ShardOwner {
  private readonly ledger = new Ledger();

  private readonly upstreams: ShardUpstreams;

  private readonly waiting = new Map<string, Waiting>();

  private readonly scheduler: Scheduler;

  private isStopped = false;

  constructor(private readonly options: ShardOwnerOptions) {
    const { settings, getRelease } = options;
    const onChange = (): void => this.dispatch();
    this.upstreams = new ShardUpstreams({ ...options, ledger: this.ledger, onChange });
    this.scheduler = createScheduler({
      policy: settings.policy,
      ledger: this.ledger,
      startWithinMs: settings.startWithinMs,
      getRelease,
    });
  }

  get fence(): number {
    return this.options.fence;
  }

  /** Gets the number of works that wait for memory. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Gets the engines and what they have given away. */
  getEngines(): Engine[] {
    return this.ledger.getEngines();
  }

  /** Runs until stopped: refuses late work, places what fits, drops silent upstreams. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await sleep(TICK_MS);
      this.upstreams.dropSilent();
      this.expire();
      this.dispatch();
      this.pauseVictims();
    }
  }

  /** Refuses everything that waits; nothing of it has run. */
  stop(): void {
    this.isStopped = true;
    this.upstreams.stop();
    this.refuseAll();
  }

  /** Waits for memory. The answer is a grant or a refusal. */
  reserve(call: ReserveCall, signal: AbortSignal): Promise<ReserveAnswer> {
    const work = toWork(call, this.options.getRelease());
    if (this.isStopped || !this.options.isOwner()) {
      return Promise.resolve(toRefusal('owner-changed', OWNER_CHANGED_RETRY_MS));
    }
    if (this.waiting.has(work.id) || this.isHeld(work.id)) {
      return Promise.resolve(toRefusal('queue-full', OWNER_CHANGED_RETRY_MS));
    }
    const submitted = this.scheduler.submit(work, call.session ?? '');
    if (submitted.isErr()) {
      const { reason, retryAfterMs } = submitted.error;
      return Promise.resolve(toRefusal(reason, retryAfterMs));
    }
    return new Promise((settle) => {
      this.waiting.set(work.id, { work, settle });
      signal.addEventListener('abort', () => this.refuse(work, 'cancelled', 0), { once: true });
      this.dispatch();
    });
  }

  /**
   * Gives back what a request holds. Memory held for a prompt that another engine leads is free in
   * the ledger only after the engine was told, so that the next grant finds it free there too.
   */
  async release(call: ReleaseCall): Promise<void> {
    const request = call.reservation ?? '';
    const engines = this.ledger.getHolding(request);
    if (engines.length > 1) await this.freePeers(request, engines);
    this.ledger.removeRequest(request);
    this.dispatch();
  }

  /** Tells that a prompt has been processed. */
  markDecoding(request: string): void {
    for (const engine of this.ledger.getEngines()) {
      const reservation = engine.getReservation(request);
      if (reservation) reservation.isDecoding = true;
    }
  }

  /** Takes a message of an upstream. */
  announce(call: AnnounceCall): AnnounceAnswer {
    return this.upstreams.announce(call);
  }

  /** Gets what other entry processes choose a shard by. */
  summarise(): SummaryMessage {
    const { ledger, scheduler, options } = this;
    const { shard, fence } = options;
    const services = this.upstreams.getServices();
    return summariseShard({ shard, fence, ledger, scheduler, services });
  }

  private dispatch(): void {
    if (this.isStopped || this.waiting.size === 0) return;
    if (!this.options.isOwner()) {
      this.refuseAll();
      return;
    }
    for (const grant of this.scheduler.dispatch()) this.answer(grant);
    const { invariants, shard } = this.options;
    invariants.check('ledger-consistent', this.ledger.isConsistent(), () => shard);
  }

  private answer(grant: Grant): void {
    if (grant.place.shares.length === 1) {
      this.settle(grant);
      return;
    }
    this.holdPeers(grant)
      .then(() => this.settle(grant))
      .catch(() => this.giveUpGang(grant));
  }

  private settle(grant: Grant): void {
    const { work, place, queuedMs } = grant;
    const waiting = this.waiting.get(work.id);
    this.waiting.delete(work.id);
    if (!waiting) {
      this.release({ reservation: work.id }).catch(() => undefined);
      return;
    }
    const { fence, settings, timeline } = this.options;
    const [lead] = place.shares;
    timeline.record('granted', { request: work.id, upstream: lead?.engine.id, fence });
    waiting.settle({
      granted: true,
      reservation: work.id,
      fence: BigInt(fence),
      upstreams: place.shares.map(({ engine, tokens }) => ({
        id: engine.id,
        address: engine.address,
        tokens,
      })),
      enginePriority: place.enginePriority,
      startWithinMs: settings.startWithinMs,
      queuedMs,
    });
  }

  /** Makes the other engines of a large prompt hold their part: all of them or none. */
  private async holdPeers({ work, place }: Grant): Promise<void> {
    const { client, fence } = this.options;
    const peers = place.shares.slice(1);
    await Promise.all(
      peers.map(async ({ engine, tokens }) => {
        await client.send(engine.address, fence, { kind: 'hold', request: work.id, tokens });
        const reservation = engine.getReservation(work.id);
        if (reservation) reservation.isSeen = true;
      }),
    );
  }

  private giveUpGang({ work }: Grant): void {
    this.release({ reservation: work.id }).catch(() => undefined);
    this.refuse(work, 'no-engine', OWNER_CHANGED_RETRY_MS);
  }

  private async freePeers(request: string, engines: Engine[]): Promise<void> {
    const { client, fence } = this.options;
    const action = { kind: 'cancel', request } as const;
    await Promise.allSettled(engines.map((engine) => client.send(engine.address, fence, action)));
  }

  private refuseAll(): void {
    this.waiting.forEach(({ work }) => this.refuse(work, 'owner-changed', OWNER_CHANGED_RETRY_MS));
  }

  private refuse(work: Work, reason: RefusalReason, retryAfterMs: number): void {
    const waiting = this.waiting.get(work.id);
    this.waiting.delete(work.id);
    this.scheduler.cancel(work.id);
    waiting?.settle(toRefusal(reason, retryAfterMs));
  }

  private expire(): void {
    for (const { work, reason } of this.scheduler.expire()) this.refuse(work, reason, 0);
  }

  private pauseVictims(): void {
    const { client, fence, timeline } = this.options;
    for (const { engine, reservation } of this.scheduler.findVictims()) {
      const { request } = reservation;
      reservation.isPausing = true;
      timeline.record('paused', { request, upstream: engine.id, fence });
      client.send(engine.address, fence, { kind: 'pause', request }).catch(() => {
        reservation.isPausing = false;
      });
    }
  }

  private isHeld(request: string): boolean {
    return this.ledger.getHolding(request).length > 0;
  }
}

function toRefusal(reason: RefusalReason, retryAfterMs: number): ReserveAnswer {
  return { granted: false, reason, retryAfterMs };
}
