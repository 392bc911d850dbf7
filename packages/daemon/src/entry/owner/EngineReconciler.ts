import { setTimeout as sleep } from 'node:timers/promises';
import type { Engine } from '@azurecart/scheduling';
import type { EngineState, Release } from '@azurecart/protocol';
import type { Invariants, Logger, Timeline } from '@azurecart/telemetry';
import { EngineError } from '../upstreams/index.js';
import type { EngineClient } from '../upstreams/index.js';
import type { PrefixCacheIndex } from './PrefixCacheIndex.js';
import { planModels } from './planModels.js';
import { reconcileReservations } from './reconcileReservations.js';

export interface EngineReconcilerOptions {
  engine: Engine;
  incarnation: string;
  pool: string;
  fence: number;
  /** Time for which an engine that does not respond is expected to become ready. */
  patienceMs: number;
  client: EngineClient;
  cache: PrefixCacheIndex;
  /** Monotonic time until which grants of a previous owner may still start on the engine. */
  previousGrantsEndAt: number;
  getRelease: () => Release | undefined;
  isOwner: () => boolean;
  /** Whether any engine of the shard processes the prompt of a request. */
  hasLeadingEngine: (request: string) => boolean;
  /** Whether the session of an entry process is still open. */
  isSessionOpen: (session: string) => boolean;
  /** Requests a permit to load a model, which limits concurrent loads; false when none is free. */
  acquireLoad: (model: string) => Promise<boolean>;
  releaseLoad: (model: string) => Promise<void>;
  onChange: () => void;
  timeline: Timeline;
  invariants: Invariants;
  logger: Logger;
}

const POLL_INTERVAL_MS = 500;
const NOT_READY_POLL_INTERVAL_MS = 100;
/**
 * An adopted reservation is not cancelled for this long: its request may be about to end on its
 * own, or the state of its lead engine may not have been read yet.
 */
const ADOPTED_GRACE_MS = 1500;

/**
 * Reconciles one engine with the ledger and the release: sends it the fencing token, polls its
 * state, updates the ledger from it, cancels abandoned requests, and unloads and loads models.
 */
export class EngineReconciler {
  private isStopped = false;

  private hasRaisedFence = false;

  /** Monotonic time at which the state that led to the adoption was requested, by request id. */
  private readonly adoptedAt = new Map<string, number>();

  constructor(private readonly options: EngineReconcilerOptions) {
    this.expectReadiness();
  }

  /**
   * Runs until stopped. The cycle after this process's lease has expired marks the engine as not
   * ready; it is ready again once its state has been read under a renewed lease. A lease that
   * expires and is renewed between two cycles is not noticed.
   */
  async run(): Promise<void> {
    const { engine, logger } = this.options;
    while (!this.isStopped) {
      try {
        if (this.options.isOwner()) await this.reconcile();
        else engine.isReady = false;
      } catch (error) {
        engine.isReady = false;
        // No process listens on the port, so only another incarnation can become ready.
        if (error instanceof EngineError && error.isConnectionRefused) this.stopExpecting();
        logger.debug({ err: error, upstream: engine.id }, 'engine reconciliation failed');
      }
      await sleep(engine.isReady ? POLL_INTERVAL_MS : NOT_READY_POLL_INTERVAL_MS);
    }
    engine.isReady = false;
  }

  stop(): void {
    this.isStopped = true;
    this.options.engine.isReady = false;
  }

  private async reconcile(): Promise<void> {
    const { engine, client, fence, timeline } = this.options;
    if (!this.hasRaisedFence) {
      await client.sendCommand(engine.address, fence, { kind: 'raise-fence' });
      this.hasRaisedFence = true;
      timeline.record('engine-fenced', { upstream: engine.id, fence });
    }
    const requestedAt = performance.now();
    const state = await client.getState(engine.address);
    if (this.isStopped || !this.checkIncarnation(state)) return;
    this.applyState(state, requestedAt);
    await this.cancelAbandoned();
    await this.reconcileModels(state);
  }

  /** Stops the reconciler and returns false when the engine reports another incarnation. */
  private checkIncarnation(state: EngineState): boolean {
    if (state.incarnation === this.options.incarnation) return true;
    this.stop();
    return false;
  }

  private applyState(state: EngineState, requestedAt: number): void {
    const { engine, cache, onChange, invariants } = this.options;
    const unreserved = reconcileReservations({ engine, state, requestedAt });
    unreserved.forEach((item) => this.adoptedAt.set(item.request, requestedAt));
    cache.resync(engine, state.cache);
    invariants.check(
      'engine-memory-not-overfilled',
      state.held.reduce((sum, item) => sum + item.tokens, 0) <= engine.capacity.kvTokens,
      () => engine.id,
    );
    const wasReady = engine.isReady;
    engine.isReady = !state.leaving && this.canGrant();
    if (engine.isReady) this.expectReadiness();
    if (state.leaving) this.stopExpecting();
    if (engine.isReady !== wasReady) {
      const kind = engine.isReady ? 'engine-ready' : 'engine-not-ready';
      this.options.timeline.record(kind, { upstream: engine.id, fence: this.options.fence });
    }
    onChange();
  }

  private expectReadiness(): void {
    const { engine, patienceMs } = this.options;
    engine.expectedUntil = performance.now() + patienceMs;
  }

  private stopExpecting(): void {
    this.options.engine.expectedUntil = -Infinity;
  }

  /**
   * Whether memory may be granted. An engine that does not check fencing tokens gets no grants
   * while those of a previous owner may still start on it.
   */
  private canGrant(): boolean {
    const { pool, previousGrantsEndAt, getRelease } = this.options;
    const settings = getRelease()?.pools.find((candidate) => candidate.name === pool);
    if (!settings) return false;
    return settings.checksFence || performance.now() >= previousGrantsEndAt;
  }

  private async cancelAbandoned(): Promise<void> {
    const { engine } = this.options;
    for (const reservation of engine.getReservations()) {
      if (this.isAbandoned(reservation)) await this.cancel(reservation.request);
    }
    for (const request of [...this.adoptedAt.keys()]) {
      if (!engine.getReservation(request)) this.adoptedAt.delete(request);
    }
  }

  /**
   * Whether a request is to be cancelled: its session is closed or, when its session is unknown, no
   * engine leads it. An adopted reservation is first kept for ADOPTED_GRACE_MS.
   */
  private isAbandoned(reservation: { request: string; leads: boolean; session: string }): boolean {
    const { hasLeadingEngine, isSessionOpen } = this.options;
    const { request, leads, session } = reservation;
    if (session !== '') return !isSessionOpen(session);
    const adoptedAt = this.adoptedAt.get(request) ?? -Infinity;
    if (performance.now() - adoptedAt < ADOPTED_GRACE_MS) return false;
    return !leads && !hasLeadingEngine(request);
  }

  private async cancel(request: string): Promise<void> {
    const { engine, client, fence, timeline } = this.options;
    await client.sendCommand(engine.address, fence, { kind: 'cancel', request });
    timeline.record('orphan-cancelled', { upstream: engine.id, request, fence });
  }

  private async reconcileModels(state: EngineState): Promise<void> {
    const { engine, pool, getRelease, client, fence } = this.options;
    const release = getRelease();
    if (!release) return;
    const plan = planModels({ release, pool, loaded: state.models });
    engine.models = plan.serving;
    for (const model of plan.unload) {
      if (this.isUnused(model)) {
        await client.sendCommand(engine.address, fence, { kind: 'unload', model });
        this.recordModelEvent('model-unloaded', model);
      }
    }
    for (const model of plan.load) await this.load(model);
  }

  private async load(model: EngineState['models'][number]): Promise<void> {
    const { engine, client, fence, acquireLoad, releaseLoad } = this.options;
    if (!(await acquireLoad(model.name))) return;
    try {
      await client.sendCommand(engine.address, fence, { kind: 'load', model });
      this.recordModelEvent('model-loaded', `${model.name}@${model.version}`);
    } finally {
      await releaseLoad(model.name);
    }
  }

  private isUnused(model: string): boolean {
    const reservations = this.options.engine.getReservations();
    return !reservations.some((other) => other.model === model || other.model === '');
  }

  private recordModelEvent(kind: string, detail: string): void {
    const { engine, fence, timeline } = this.options;
    timeline.record(kind, { upstream: engine.id, fence, detail });
  }
}
