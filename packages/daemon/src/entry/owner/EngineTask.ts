import { setTimeout as sleep } from 'node:timers/promises';
import type { Engine } from '@azurecart/scheduling';
import type { EngineState, Release } from '@azurecart/protocol';
import type { Invariants, Logger, Timeline } from '@azurecart/telemetry';
import type { EngineClient } from '../upstreams/index.js';
import type { CacheIndex } from './CacheIndex.js';
import { planModels } from './planModels.js';
import { reconcileHeld } from './reconcileHeld.js';

/** What the task of one engine needs. */
export interface EngineTaskOptions {
  engine: Engine;
  incarnation: string;
  pool: string;
  fence: number;
  client: EngineClient;
  cache: CacheIndex;
  /** Monotonic time before which an older owner's grants may still start. */
  oldGrantsEndAt: number;
  getRelease: () => Release | undefined;
  isOwner: () => boolean;
  /** Tells whether an engine of the shard leads a request. */
  hasLead: (request: string) => boolean;
  /** Tells whether the session that holds a grant is still open. */
  isSessionOpen: (session: string) => boolean;
  /** Waits for the fleet's pacing; gets false when a load must wait. */
  acquireLoad: (model: string) => Promise<boolean>;
  releaseLoad: (model: string) => Promise<void>;
  onChange: () => void;
  timeline: Timeline;
  invariants: Invariants;
  logger: Logger;
}

const PERIOD_MS = 500;
const FAST_PERIOD_MS = 100;
/** Time for which unknown memory may be a request that is just ending. */
const ORPHAN_GRACE_MS = 1500;

/** The owner's task for one engine: fences it, reads its state back and puts it right. */
export class EngineTask {
  private isStopped = false;

  private hasRaisedFence = false;

  private readonly orphans = new Map<string, number>();

  constructor(private readonly options: EngineTaskOptions) {}

  /**
   * Runs until stopped. While this process's lease is over nothing is granted; when the lease is
   * renewed in time to keep the shard, the engine's state is read again first.
   */
  async run(): Promise<void> {
    const { engine, logger } = this.options;
    while (!this.isStopped) {
      try {
        if (this.options.isOwner()) await this.tend();
        else engine.isReady = false;
      } catch (error) {
        engine.isReady = false;
        logger.debug({ err: error, upstream: engine.id }, 'engine not reached');
      }
      await sleep(engine.isReady ? PERIOD_MS : FAST_PERIOD_MS);
    }
    engine.isReady = false;
  }

  stop(): void {
    this.isStopped = true;
    this.options.engine.isReady = false;
  }

  private async tend(): Promise<void> {
    const { engine, client, fence, timeline } = this.options;
    if (!this.hasRaisedFence) {
      await client.send(engine.address, fence, { kind: 'raise-fence' });
      this.hasRaisedFence = true;
      timeline.record('engine-fenced', { upstream: engine.id, fence });
    }
    const askedAt = performance.now();
    const state = await client.getState(engine.address);
    if (this.isStopped || !this.isSameEngine(state)) return;
    this.takeState(state, askedAt);
    await this.cancelOrphans();
    await this.putModelsRight(state);
  }

  private isSameEngine(state: EngineState): boolean {
    if (state.incarnation === this.options.incarnation) return true;
    this.stop();
    return false;
  }

  private takeState(state: EngineState, askedAt: number): void {
    const { engine, cache, onChange, invariants } = this.options;
    const orphans = reconcileHeld({ engine, state, askedAt });
    orphans.forEach((orphan) => this.orphans.set(orphan.request, askedAt));
    cache.resync(engine, state.cache);
    invariants.check(
      'engine-memory-not-overfilled',
      state.held.reduce((sum, item) => sum + item.tokens, 0) <= engine.capacity.kvTokens,
      () => engine.id,
    );
    const wasReady = engine.isReady;
    engine.isReady = !state.leaving && this.canGrant();
    if (engine.isReady !== wasReady) {
      const kind = engine.isReady ? 'engine-ready' : 'engine-not-ready';
      this.options.timeline.record(kind, { upstream: engine.id, fence: this.options.fence });
    }
    onChange();
  }

  /** Engines that ignore fencing get nothing while an older owner's grants may still start. */
  private canGrant(): boolean {
    const { pool, oldGrantsEndAt, getRelease } = this.options;
    const settings = getRelease()?.pools.find((each) => each.name === pool);
    if (!settings) return false;
    return settings.checksFence || performance.now() >= oldGrantsEndAt;
  }

  private async cancelOrphans(): Promise<void> {
    const { engine } = this.options;
    for (const reservation of engine.getReservations()) {
      if (this.isLost(reservation)) await this.cancel(reservation.request);
    }
    for (const request of [...this.orphans.keys()]) {
      if (!engine.getReservation(request)) this.orphans.delete(request);
    }
  }

  private isLost(reservation: { request: string; leads: boolean; session: string }): boolean {
    const { hasLead, isSessionOpen } = this.options;
    const { request, leads, session } = reservation;
    if (session !== '') return !isSessionOpen(session);
    const since = this.orphans.get(request) ?? -Infinity;
    if (performance.now() - since < ORPHAN_GRACE_MS) return false;
    return !leads && !hasLead(request);
  }

  private async cancel(request: string): Promise<void> {
    const { engine, client, fence, timeline } = this.options;
    await client.send(engine.address, fence, { kind: 'cancel', request });
    timeline.record('orphan-cancelled', { upstream: engine.id, request, fence });
  }

  private async putModelsRight(state: EngineState): Promise<void> {
    const { engine, pool, getRelease, client, fence } = this.options;
    const release = getRelease();
    if (!release) return;
    const plan = planModels({ release, pool, loaded: state.models });
    engine.models = plan.serving;
    for (const model of plan.unload) {
      if (this.isDrained(model)) {
        await client.send(engine.address, fence, { kind: 'unload', model });
        this.recordModel('model-unloaded', model);
      }
    }
    for (const model of plan.load) await this.load(model);
  }

  private async load(model: EngineState['models'][number]): Promise<void> {
    const { engine, client, fence, acquireLoad, releaseLoad } = this.options;
    if (!(await acquireLoad(model.name))) return;
    try {
      await client.send(engine.address, fence, { kind: 'load', model });
      this.recordModel('model-loaded', `${model.name}@${model.version}`);
    } finally {
      await releaseLoad(model.name);
    }
  }

  private isDrained(model: string): boolean {
    const reservations = this.options.engine.getReservations();
    return !reservations.some((other) => other.model === model || other.model === '');
  }

  private recordModel(kind: string, detail: string): void {
    const { engine, fence, timeline } = this.options;
    timeline.record(kind, { upstream: engine.id, fence, detail });
  }
}
