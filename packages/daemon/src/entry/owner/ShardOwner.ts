import { setTimeout as sleep } from 'node:timers/promises';
import { Engine, Ledger } from '@azurecart/scheduling';
import type { Grant, RefusalReason, Scheduler, Work, WorkPriority } from '@azurecart/scheduling';
import {
  announcementSchema,
  cacheEventsSchema,
  departureSchema,
  parseDocument,
  PRIORITIES,
} from '@azurecart/protocol';
import type { Announcement, Release } from '@azurecart/protocol';
import type { Invariants, Logger, Timeline } from '@azurecart/telemetry';
import type { EntrySettings } from '../../settings/index.js';
import type { EngineClient } from '../upstreams/index.js';
import { CacheIndex } from './CacheIndex.js';
import { createScheduler } from './createScheduler.js';
import { EngineTask } from './EngineTask.js';
import type {
  AnnounceAnswer,
  AnnounceCall,
  ReleaseCall,
  ReserveAnswer,
  ReserveCall,
  SummaryMessage,
} from './OwnerCalls.js';
import { UpstreamRegistry } from './UpstreamRegistry.js';

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
/** Clocks of two VMs may differ by this much over the length of a grant. */
const GRANT_MARGIN_MS = 200;
const NOMINAL_PROMPT_TOKENS = 1000;
const NOMINAL_ANSWER_TOKENS = 50;
const OWNER_CHANGED_RETRY_MS = 100;

/** The one writer of the memory of a shard's engines. */
export class ShardOwner {
  private readonly ledger = new Ledger();

  private readonly registry: UpstreamRegistry;

  private readonly cache = new CacheIndex();

  private readonly tasks = new Map<string, EngineTask>();

  private readonly waiting = new Map<string, Waiting>();

  private readonly scheduler: Scheduler;

  private readonly startedAt = performance.now();

  private isStopped = false;

  constructor(private readonly options: ShardOwnerOptions) {
    const { settings, getRelease } = options;
    this.registry = new UpstreamRegistry({
      ttlMs: settings.announcementTtlMs,
      now: () => performance.now(),
    });
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
      this.dropSilent();
      this.expire();
      this.dispatch();
      this.pauseVictims();
    }
  }

  /** Refuses everything that waits; nothing of it has run. */
  stop(): void {
    this.isStopped = true;
    this.tasks.forEach((task) => task.stop());
    this.waiting.forEach(({ work }) => this.refuse(work, 'owner-changed', OWNER_CHANGED_RETRY_MS));
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
    const refusal = this.scheduler.submit(work, call.session ?? '');
    if (refusal) return Promise.resolve(toRefusal(refusal.reason, refusal.retryAfterMs));
    return new Promise((settle) => {
      this.waiting.set(work.id, { work, settle });
      signal.addEventListener('abort', () => this.refuse(work, 'cancelled', 0), { once: true });
      this.dispatch();
    });
  }

  /** Gives back what a request holds. */
  async release(call: ReleaseCall): Promise<void> {
    const request = call.reservation ?? '';
    const engines = this.ledger.removeRequest(request);
    this.dispatch();
    if (engines.length > 1) await this.freePeers(request, engines);
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
    const body = call.body ?? '';
    switch (call.kind) {
      case 'announce':
        return this.takeAnnouncement(parseDocument(announcementSchema, body, 'announcement'));
      case 'leave':
        return this.takeDeparture(body);
      case 'cache-events':
        return this.takeCacheEvents(body);
      default:
        return { accepted: false, reason: `unknown kind ${call.kind}` };
    }
  }

  /** Gets what other entry processes choose a shard by. */
  summarise(): SummaryMessage {
    const engines = this.ledger.getEngines().filter((engine) => engine.isReady);
    const models = new Set(engines.flatMap((engine) => [...engine.models]));
    return {
      shard: this.options.shard,
      fence: BigInt(this.options.fence),
      models: [...models].map((model) => this.summariseModel(model)),
      services: this.registry
        .getAll()
        .filter(({ announcement }) => announcement.kind === 'service')
        .map(({ announcement }) => ({
          id: announcement.id,
          address: announcement.address,
          service: announcement.pool,
          load: announcement.load?.running ?? 0,
          dataCentre: announcement.dataCentre,
        })),
    };
  }

  private summariseModel(model: string): NonNullable<SummaryMessage['models']>[number] {
    const engines = this.ledger.getServing(model);
    const free = engines.map((engine) => engine.freeTokens);
    return {
      model,
      upstreams: engines.length,
      waitMs: PRIORITIES.map((priority) => this.getWaitMs(model, priority)),
      largestFreeTokens: Math.max(0, ...free),
      totalTokens: engines.reduce((sum, engine) => sum + engine.capacity.kvTokens, 0),
      prefillTokensPerSecond: engines[0]?.capacity.prefillTokensPerSecond ?? 0,
    };
  }

  private getWaitMs(model: string, priority: WorkPriority): number {
    const now = performance.now();
    return this.scheduler.getWaitMs({
      id: '',
      customer: '',
      weight: 1,
      priority,
      model,
      promptTokens: NOMINAL_PROMPT_TOKENS,
      maxTokens: NOMINAL_ANSWER_TOKENS,
      prefixes: [],
      arrivedAt: now,
      dueAt: Infinity,
      queueLimitMs: Infinity,
      isLong: false,
      avoided: [],
    });
  }

  private dispatch(): void {
    if (this.isStopped || this.waiting.size === 0) return;
    if (!this.options.isOwner()) {
      this.stop();
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
    return this.ledger.getEngines().some((engine) => engine.getReservation(request));
  }

  private takeAnnouncement(announcement: Announcement): AnnounceAnswer {
    const { id, incarnation } = announcement;
    const known = this.registry.getUpstream(id)?.announcement;
    if (!this.registry.announce(announcement)) return { accepted: false, reason: 'old message' };
    if (known?.incarnation !== incarnation) this.startUpstream(announcement);
    this.takeLoad(announcement);
    return { accepted: true, resync: false };
  }

  private startUpstream(announcement: Announcement): void {
    const { id, incarnation, engine: capacity } = announcement;
    const { timeline, fence } = this.options;
    timeline.record('upstream-announced', { upstream: id, detail: incarnation, fence });
    this.stopEngine(id);
    if (!capacity) return;
    const engine = new Engine({ id, address: announcement.address, capacity });
    this.ledger.addEngine(engine);
    const task = this.createTask(engine, announcement);
    this.tasks.set(id, task);
    task.run().catch((error: unknown) => this.options.logger.error({ err: error }, 'engine task'));
  }

  private createTask(engine: Engine, announcement: Announcement): EngineTask {
    const { options } = this;
    const { id } = engine;
    return new EngineTask({
      engine,
      incarnation: announcement.incarnation,
      pool: announcement.pool,
      fence: options.fence,
      client: options.client,
      cache: this.cache,
      oldGrantsEndAt: this.startedAt + options.settings.startWithinMs + GRANT_MARGIN_MS,
      getRelease: options.getRelease,
      isOwner: options.isOwner,
      hasLead: (request) => this.hasLead(request),
      isSessionOpen: options.isSessionOpen,
      acquireLoad: (model) => options.acquireLoad(id, model),
      releaseLoad: (model) => options.releaseLoad(id, model),
      onChange: () => this.dispatch(),
      timeline: options.timeline,
      invariants: options.invariants,
      logger: options.logger,
    });
  }

  private hasLead(request: string): boolean {
    return this.ledger.getEngines().some((engine) => engine.getReservation(request)?.leads);
  }

  private takeLoad({ id, load }: Announcement): void {
    const engine = this.ledger.getEngine(id);
    if (!engine || !load) return;
    const measuredAt = performance.now() - load.ageMs;
    engine.report = { measuredAt, running: load.running, queuedTokens: load.queuedTokens };
    this.dispatch();
  }

  private takeDeparture(body: string): AnnounceAnswer {
    const departure = parseDocument(departureSchema, body, 'departure');
    if (!this.registry.leave(departure)) return { accepted: false, reason: 'old message' };
    this.options.timeline.record('upstream-left', { upstream: departure.id });
    const engine = this.ledger.getEngine(departure.id);
    if (engine) engine.isReady = false;
    this.stopEngine(departure.id);
    return { accepted: true };
  }

  private takeCacheEvents(body: string): AnnounceAnswer {
    const events = parseDocument(cacheEventsSchema, body, 'cache events');
    const engine = this.ledger.getEngine(events.id);
    if (!engine) return { accepted: false, reason: 'unknown upstream' };
    return { accepted: true, resync: !this.cache.apply(engine, events) };
  }

  private dropSilent(): void {
    for (const { announcement } of this.registry.takeSilent()) {
      this.options.timeline.record('upstream-silent', { upstream: announcement.id });
      this.stopEngine(announcement.id);
    }
  }

  private stopEngine(id: string): void {
    this.tasks.get(id)?.stop();
    this.tasks.delete(id);
    const engine = this.ledger.getEngine(id);
    if (engine) this.cache.drop(engine);
    this.ledger.removeEngine(id);
  }
}

function toRefusal(reason: RefusalReason, retryAfterMs: number): ReserveAnswer {
  return { granted: false, reason, retryAfterMs };
}

function toWork(call: ReserveCall, release: Release | undefined): Work {
  const now = performance.now();
  const promptTokens = call.promptTokens ?? 0;
  return {
    id: call.requestId ?? '',
    customer: call.customer ?? '',
    weight: call.weight || 1,
    priority: PRIORITIES.find((priority) => priority === call.priority) ?? 'batch',
    model: call.model ?? '',
    promptTokens,
    maxTokens: call.maxTokens ?? 0,
    prefixes: call.prefixes ?? [],
    arrivedAt: now,
    dueAt: now + (call.deadlineMs ?? 0),
    queueLimitMs: call.queueLimitMs ?? 0,
    isLong: promptTokens >= (release?.routing.longTokens ?? Infinity),
    avoided: call.avoidedUpstreams ?? [],
  };
}
