import { Engine } from '@azurecart/scheduling';
import type { Ledger } from '@azurecart/scheduling';
import {
  announcementSchema,
  cacheEventsSchema,
  departureSchema,
  parseDocument,
} from '@azurecart/protocol';
import type { Announcement } from '@azurecart/protocol';
import { CacheIndex } from './CacheIndex.js';
import { EngineTask } from './EngineTask.js';
import type { AnnounceAnswer, AnnounceCall } from './OwnerCalls.js';
import type { ShardOwnerOptions } from './ShardOwner.js';
import { UpstreamRegistry } from './UpstreamRegistry.js';

/** What the upstreams of a shard are kept in. */
export interface ShardUpstreamsOptions extends ShardOwnerOptions {
  ledger: Ledger;
  /** Tells that memory or load may have changed. */
  onChange: () => void;
}

/** Clocks of two VMs may differ by this much over the length of a grant. */
const GRANT_MARGIN_MS = 200;

/** The upstreams of a shard: who has announced itself, and a task for each engine. */
export class ShardUpstreams {
  private readonly registry: UpstreamRegistry;

  private readonly cache = new CacheIndex();

  private readonly tasks = new Map<string, EngineTask>();

  private readonly startedAt = performance.now();

  constructor(private readonly options: ShardUpstreamsOptions) {
    const { announcementTtlMs } = options.settings;
    this.registry = new UpstreamRegistry({
      ttlMs: announcementTtlMs,
      now: () => performance.now(),
    });
  }

  /** Gets the announcements of the plain services. */
  getServices(): Announcement[] {
    const announcements = this.registry.getAll().map(({ announcement }) => announcement);
    return announcements.filter(({ kind }) => kind === 'service');
  }

  /**
   * Takes a message of an upstream.
   * @throws ValidationFault when it does not fit its schema.
   */
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

  /** Drops the upstreams that have been silent for too long. */
  dropSilent(): void {
    for (const { announcement } of this.registry.takeSilent()) {
      this.options.timeline.record('upstream-silent', { upstream: announcement.id });
      this.stopEngine(announcement.id);
    }
  }

  /** Ends all tasks. */
  stop(): void {
    this.tasks.forEach((task) => task.stop());
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
    this.options.ledger.addEngine(engine);
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
      onChange: options.onChange,
      timeline: options.timeline,
      invariants: options.invariants,
      logger: options.logger,
    });
  }

  private hasLead(request: string): boolean {
    return this.options.ledger.getEngines().some((engine) => engine.getReservation(request)?.leads);
  }

  private takeLoad({ id, load }: Announcement): void {
    const engine = this.options.ledger.getEngine(id);
    if (!engine || !load) return;
    const measuredAt = performance.now() - load.ageMs;
    engine.report = { measuredAt, queuedTokens: load.queuedTokens };
    this.options.onChange();
  }

  private takeDeparture(body: string): AnnounceAnswer {
    const departure = parseDocument(departureSchema, body, 'departure');
    if (!this.registry.leave(departure)) return { accepted: false, reason: 'old message' };
    this.options.timeline.record('upstream-left', { upstream: departure.id });
    const engine = this.options.ledger.getEngine(departure.id);
    if (engine) engine.isReady = false;
    this.stopEngine(departure.id);
    return { accepted: true };
  }

  private takeCacheEvents(body: string): AnnounceAnswer {
    const events = parseDocument(cacheEventsSchema, body, 'cache events');
    const engine = this.options.ledger.getEngine(events.id);
    if (!engine) return { accepted: false, reason: 'unknown upstream' };
    return { accepted: true, resync: !this.cache.apply(engine, events) };
  }

  private stopEngine(id: string): void {
    this.tasks.get(id)?.stop();
    this.tasks.delete(id);
    const engine = this.options.ledger.getEngine(id);
    if (engine) this.cache.drop(engine);
    this.options.ledger.removeEngine(id);
  }
}
