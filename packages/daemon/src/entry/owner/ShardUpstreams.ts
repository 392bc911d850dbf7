import { Engine } from '@azurecart/scheduling';
import type { Ledger } from '@azurecart/scheduling';
import {
  announcementSchema,
  cacheEventsSchema,
  departureSchema,
  parseDocument,
} from '@azurecart/protocol';
import type { Announcement } from '@azurecart/protocol';
import { PrefixCacheIndex } from './PrefixCacheIndex.js';
import { EngineReconciler } from './EngineReconciler.js';
import type { AnnounceResponseInit, AnnounceRequestInit } from './OwnerApi.js';
import type { ShardOwnerOptions } from './ShardOwner.js';
import { UpstreamRegistry } from './UpstreamRegistry.js';

export interface ShardUpstreamsOptions extends ShardOwnerOptions {
  ledger: Ledger;
  /** Called when engine memory or load may have changed. */
  onChange: () => void;
}

/**
 * Allowance for the clock drift between two VMs over the lifetime of a grant: a drift of 5 % over
 * 4 s, of which the grant takes `startWithinMs` (1 s by default) and the queue the rest.
 */
const GRANT_MARGIN_MS = 200;

/** Registered upstreams of a shard, with a reconciler for each engine. */
export class ShardUpstreams {
  private readonly registry: UpstreamRegistry;

  private readonly cache = new PrefixCacheIndex();

  private readonly reconcilers = new Map<string, EngineReconciler>();

  private readonly ownedSince = performance.now();

  constructor(private readonly options: ShardUpstreamsOptions) {
    const { announcementTtlMs } = options.settings;
    this.registry = new UpstreamRegistry({
      ttlMs: announcementTtlMs,
      now: () => performance.now(),
    });
  }

  /** Returns the announcements of the upstreams that are services rather than engines. */
  getServices(): Announcement[] {
    const announcements = this.registry.getAll().map(({ announcement }) => announcement);
    return announcements.filter(({ kind }) => kind === 'service');
  }

  /**
   * Handles an announcement, departure or cache events of an upstream.
   * @throws ValidationError when the body does not match its schema.
   */
  announce(request: AnnounceRequestInit): AnnounceResponseInit {
    const body = request.body ?? '';
    switch (request.kind) {
      case 'announce':
        return this.handleAnnouncement(parseDocument(announcementSchema, body, 'announcement'));
      case 'leave':
        return this.handleDeparture(body);
      case 'cache-events':
        return this.handleCacheEvents(body);
      default:
        return { accepted: false, reason: `unknown kind ${request.kind}` };
    }
  }

  /** Removes the upstreams that have not announced themselves within the TTL. */
  removeSilent(): void {
    for (const { announcement } of this.registry.removeSilent()) {
      this.options.timeline.record('upstream-silent', { upstream: announcement.id });
      this.removeEngine(announcement.id);
    }
  }

  /** Stops all engine reconcilers. */
  stop(): void {
    this.reconcilers.forEach((reconciler) => reconciler.stop());
  }

  private handleAnnouncement(announcement: Announcement): AnnounceResponseInit {
    const { id, incarnation } = announcement;
    const known = this.registry.getUpstream(id)?.announcement;
    if (!this.registry.announce(announcement)) return { accepted: false, reason: 'old message' };
    if (known?.incarnation !== incarnation) this.addUpstream(announcement);
    this.updateLoadReport(announcement);
    return { accepted: true, resync: false };
  }

  private addUpstream(announcement: Announcement): void {
    const { id, incarnation, engine: capacity } = announcement;
    const { timeline, fence } = this.options;
    timeline.record('upstream-announced', { upstream: id, detail: incarnation, fence });
    this.removeEngine(id);
    if (!capacity) return;
    const engine = new Engine({ id, address: announcement.address, capacity });
    this.options.ledger.addEngine(engine);
    const reconciler = this.createReconciler(engine, announcement);
    this.reconcilers.set(id, reconciler);
    reconciler
      .run()
      .catch((error: unknown) =>
        this.options.logger.error({ err: error }, 'engine reconciler failed; its loop has ended'),
      );
  }

  private createReconciler(engine: Engine, announcement: Announcement): EngineReconciler {
    const { options } = this;
    const { id } = engine;
    return new EngineReconciler({
      engine,
      incarnation: announcement.incarnation,
      pool: announcement.pool,
      fence: options.fence,
      patienceMs: options.settings.announcementTtlMs,
      client: options.client,
      cache: this.cache,
      previousGrantsEndAt: this.ownedSince + options.settings.startWithinMs + GRANT_MARGIN_MS,
      getRelease: options.getRelease,
      isOwner: options.isOwner,
      hasLeadingEngine: (request) => this.hasLeadingEngine(request),
      isSessionOpen: options.isSessionOpen,
      acquireLoad: (model) => options.acquireLoad(id, model),
      releaseLoad: (model) => options.releaseLoad(id, model),
      onChange: options.onChange,
      timeline: options.timeline,
      invariants: options.invariants,
      logger: options.logger,
    });
  }

  private hasLeadingEngine(request: string): boolean {
    return this.options.ledger.getEngines().some((engine) => engine.getReservation(request)?.leads);
  }

  private updateLoadReport({ id, load }: Announcement): void {
    const engine = this.options.ledger.getEngine(id);
    if (!engine || !load) return;
    const measuredAt = performance.now() - load.ageMs;
    engine.report = { measuredAt, queuedTokens: load.queuedTokens };
    this.options.onChange();
  }

  private handleDeparture(body: string): AnnounceResponseInit {
    const departure = parseDocument(departureSchema, body, 'departure');
    if (!this.registry.leave(departure)) return { accepted: false, reason: 'old message' };
    this.options.timeline.record('upstream-left', { upstream: departure.id });
    const engine = this.options.ledger.getEngine(departure.id);
    if (engine) engine.isReady = false;
    this.removeEngine(departure.id);
    return { accepted: true };
  }

  /**
   * Applies cache events. `resync` in the response is informational: it tells the upstream that its
   * entries were dropped. They are replaced when its state is read next.
   */
  private handleCacheEvents(body: string): AnnounceResponseInit {
    const events = parseDocument(cacheEventsSchema, body, 'cache events');
    const engine = this.options.ledger.getEngine(events.id);
    if (!engine) return { accepted: false, reason: 'unknown upstream' };
    return { accepted: true, resync: !this.cache.apply(engine, events) };
  }

  private removeEngine(id: string): void {
    this.reconcilers.get(id)?.stop();
    this.reconcilers.delete(id);
    const engine = this.options.ledger.getEngine(id);
    if (engine) this.cache.drop(engine);
    this.options.ledger.removeEngine(id);
  }
}
