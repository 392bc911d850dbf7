import { setTimeout as sleep } from 'node:timers/promises';
import { Ledger } from '@azurecart/scheduling';
import type { Engine, Grant, RefusalReason, Scheduler, WorkItem } from '@azurecart/scheduling';
import type { Release } from '@azurecart/protocol';
import type { Invariants, Logger, Timeline } from '@azurecart/telemetry';
import type { EntrySettings } from '../../settings/index.js';
import type { EngineClient } from '../upstreams/index.js';
import { createScheduler } from './createScheduler.js';
import type {
  AnnounceResponseInit,
  AnnounceRequestInit,
  ReleaseRequestInit,
  ReserveResponseInit,
  ReserveRequestInit,
  SummaryInit,
} from './OwnerApi.js';
import { ShardUpstreams } from './ShardUpstreams.js';
import { summariseShard } from './summariseShard.js';
import { toWorkItem } from './toWorkItem.js';

export interface ShardOwnerOptions {
  shard: string;
  fence: number;
  settings: EntrySettings;
  client: EngineClient;
  getRelease: () => Release | undefined;
  /** Whether this process currently owns the shard and holds its lease; evaluated on each call. */
  isOwner: () => boolean;
  isSessionOpen: (session: string) => boolean;
  acquireLoad: (upstream: string, model: string) => Promise<boolean>;
  releaseLoad: (upstream: string, model: string) => Promise<void>;
  timeline: Timeline;
  invariants: Invariants;
  logger: Logger;
}

interface PendingReservation {
  work: WorkItem;
  resolve: (response: ReserveResponseInit) => void;
}

const TICK_INTERVAL_MS = 10;
/** Delay after which a client may retry a request that the owner refused, as in `LocalOwners`. */
const RETRY_AFTER_MS = 100;

/**
 * Owner of a shard: queues requests for engine memory and grants it.
 * @remarks Only the owner writes the ledger of the shard's engines.
 */
export class ShardOwner {
  private readonly ledger: Ledger;

  private readonly upstreams: ShardUpstreams;

  private readonly pending = new Map<string, PendingReservation>();

  private readonly scheduler: Scheduler;

  private isStopped = false;

  constructor(private readonly options: ShardOwnerOptions) {
    const { settings, getRelease } = options;
    this.ledger = new Ledger({ completeAt: performance.now() + settings.announcementTtlMs });
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

  /** Number of work items that wait for memory, or for peers of a granted one to hold theirs. */
  get queueLength(): number {
    return this.pending.size;
  }

  /** Engines of the shard, with the memory reserved on each. */
  getEngines(): Engine[] {
    return this.ledger.getEngines();
  }

  /**
   * Runs until stopped. Each cycle removes silent upstreams, refuses work items that have expired or
   * that no engine can serve, grants memory where it is free, and pauses batch requests to make room
   * for urgent ones.
   */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await sleep(TICK_INTERVAL_MS);
      this.upstreams.removeSilent();
      this.refuseExpired();
      this.dispatch();
      this.pauseForUrgentWork();
    }
  }

  /** Stops the owner and refuses all waiting requests; none of them has started on an engine. */
  stop(): void {
    this.isStopped = true;
    this.upstreams.stop();
    this.refuseAll();
  }

  /**
   * Queues a request for engine memory until it is granted or refused. A request whose id is queued
   * or holds memory already is refused as `queue-full`.
   * @param signal - Withdraws the request from the queue when aborted.
   */
  reserve(request: ReserveRequestInit, signal: AbortSignal): Promise<ReserveResponseInit> {
    const work = toWorkItem(request, this.options.getRelease());
    if (this.isStopped || !this.options.isOwner()) {
      return Promise.resolve(toRefusal('owner-changed', RETRY_AFTER_MS));
    }
    if (this.pending.has(work.id) || this.holdsMemory(work.id)) {
      return Promise.resolve(toRefusal('queue-full', RETRY_AFTER_MS));
    }
    const submission = this.scheduler.submit(work, request.session ?? '');
    if (submission.isErr()) {
      const { reason, retryAfterMs } = submission.error;
      return Promise.resolve(toRefusal(reason, retryAfterMs));
    }
    return new Promise((resolve) => {
      this.pending.set(work.id, { work, resolve });
      signal.addEventListener('abort', () => this.refuse(work, 'cancelled', 0), { once: true });
      this.dispatch();
    });
  }

  /**
   * Releases all memory that a request holds. When it holds memory on several engines, they are
   * told to cancel it before the ledger is updated, so that memory granted next is free on the
   * engines as well, unless a cancel fails, which is ignored. A single engine frees its memory
   * itself when the response ends or its connection closes.
   */
  async release(request: ReleaseRequestInit): Promise<void> {
    const requestId = request.reservation ?? '';
    const engines = this.ledger.getHoldingEngines(requestId);
    if (engines.length > 1) await this.cancelOnEngines(requestId, engines);
    this.ledger.removeRequest(requestId);
    this.dispatch();
  }

  /** Records that a request's prompt has been processed and decoding has begun. */
  markDecoding(request: string): void {
    this.scheduler.markDecoding(request);
  }

  /** Handles an announcement, departure or cache events of an upstream. */
  announce(request: AnnounceRequestInit): AnnounceResponseInit {
    return this.upstreams.announce(request);
  }

  /** Creates the summary from which entry processes choose a shard. */
  summarise(): SummaryInit {
    const { ledger, scheduler, options } = this;
    const { shard, fence } = options;
    const services = this.upstreams.getServices();
    return summariseShard({ shard, fence, ledger, scheduler, services });
  }

  private dispatch(): void {
    if (this.isStopped || this.pending.size === 0) return;
    if (!this.options.isOwner()) {
      this.refuseAll();
      return;
    }
    for (const grant of this.scheduler.dispatch()) this.processGrant(grant);
    const { invariants, shard } = this.options;
    invariants.check('ledger-consistent', this.ledger.isConsistent(), () => shard);
  }

  private processGrant(grant: Grant): void {
    if (grant.placement.shares.length === 1) {
      this.completeGrant(grant);
      return;
    }
    this.holdOnPeers(grant)
      .then(() => this.completeGrant(grant))
      .catch(() => this.abortGrant(grant));
  }

  private completeGrant(grant: Grant): void {
    const { work, placement, queuedMs } = grant;
    const pending = this.pending.get(work.id);
    this.pending.delete(work.id);
    if (!pending) {
      this.release({ reservation: work.id }).catch(() => undefined);
      return;
    }
    const { fence, settings, timeline } = this.options;
    const [lead] = placement.shares;
    timeline.record('granted', { request: work.id, upstream: lead?.engine.id, fence });
    pending.resolve({
      granted: true,
      reservation: work.id,
      fence: BigInt(fence),
      upstreams: placement.shares.map(({ engine, tokens }) => ({
        id: engine.id,
        address: engine.address,
        tokens,
      })),
      enginePriority: placement.enginePriority,
      startWithinMs: settings.startWithinMs,
      queuedMs,
    });
  }

  /**
   * Makes the peers of the lead engine, which processes the prompt, hold their share of the
   * memory of a large prompt. Rejects when any of them fails; the caller then releases the memory
   * on all engines.
   */
  private async holdOnPeers({ work, placement }: Grant): Promise<void> {
    const { client, fence } = this.options;
    const peers = placement.shares.slice(1);
    await Promise.all(
      peers.map(async ({ engine, tokens }) => {
        await client.sendCommand(engine.address, fence, { kind: 'hold', request: work.id, tokens });
        const reservation = engine.getReservation(work.id);
        if (reservation) reservation.isConfirmed = true;
      }),
    );
  }

  private abortGrant({ work }: Grant): void {
    this.release({ reservation: work.id }).catch(() => undefined);
    this.refuse(work, 'no-engine', RETRY_AFTER_MS);
  }

  private async cancelOnEngines(request: string, engines: Engine[]): Promise<void> {
    const { client, fence } = this.options;
    const action = { kind: 'cancel', request } as const;
    await Promise.allSettled(
      engines.map((engine) => client.sendCommand(engine.address, fence, action)),
    );
  }

  private refuseAll(): void {
    this.pending.forEach(({ work }) => this.refuse(work, 'owner-changed', RETRY_AFTER_MS));
  }

  private refuse(work: WorkItem, reason: RefusalReason, retryAfterMs: number): void {
    const pending = this.pending.get(work.id);
    this.pending.delete(work.id);
    this.scheduler.cancel(work.id);
    pending?.resolve(toRefusal(reason, retryAfterMs));
  }

  private refuseExpired(): void {
    for (const { work, reason, retryAfterMs } of this.scheduler.expire()) {
      this.refuse(work, reason, retryAfterMs);
    }
  }

  private pauseForUrgentWork(): void {
    const { client, fence, timeline } = this.options;
    for (const { engine, reservation } of this.scheduler.findVictims()) {
      const { request } = reservation;
      reservation.isPausing = true;
      timeline.record('paused', { request, upstream: engine.id, fence });
      client.sendCommand(engine.address, fence, { kind: 'pause', request }).catch(() => {
        reservation.isPausing = false;
      });
    }
  }

  private holdsMemory(request: string): boolean {
    return this.ledger.getHoldingEngines(request).length > 0;
  }
}

function toRefusal(reason: RefusalReason, retryAfterMs: number): ReserveResponseInit {
  return { granted: false, reason, retryAfterMs };
}
