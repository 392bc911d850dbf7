import { setTimeout as sleep } from 'node:timers/promises';
import type { ControlClient } from '../../rpc/index.js';
import type { ConfigurationLease, View } from '../view/index.js';
import type {
  AnnounceResponseInit,
  AnnounceRequestInit,
  MarkDecodingRequestInit,
  OwnerApi,
  ReleaseRequestInit,
  ReserveResponseInit,
  ReserveRequestInit,
  SummaryInit,
} from './OwnerApi.js';
import { ShardOwner } from './ShardOwner.js';
import type { ShardOwnerOptions } from './ShardOwner.js';

export interface LocalOwnersOptions {
  getView: () => View;
  /** Id of the session of this process. */
  getSession: () => string;
  lease: ConfigurationLease;
  control: ControlClient;
  shared: Pick<ShardOwnerOptions, 'settings' | 'client' | 'timeline' | 'invariants' | 'logger'>;
}

const LOAD_CALL_TIMEOUT_MS = 2000;
const YIELD_TIMEOUT_MS = 5000;
const HANDOVER_INTERVAL_MS = 1000;
/** The same delay as for refusals of `ShardOwner`. */
const RETRY_AFTER_MS = 100;
const NOT_OWNER: ReserveResponseInit = {
  granted: false,
  reason: 'owner-changed',
  retryAfterMs: RETRY_AFTER_MS,
};

/** Owners of the shards that are assigned to this process. */
export class LocalOwners implements OwnerApi {
  private readonly owned = new Map<string, ShardOwner>();

  /**
   * Fencing tokens, by shard, of assignments that are being handed over. The shard is not started
   * again under the same token while the view still names this process as its owner.
   */
  private readonly yieldedFences = new Map<string, number>();

  private isStopping = false;

  constructor(private readonly options: LocalOwnersOptions) {}

  /** Starts and stops shards to match the ownership in the view. */
  applyView(view: View): void {
    for (const [shard, owner] of this.owned) {
      if (!this.isOwner(view, shard, owner.fence)) this.stopShard(shard);
    }
    for (const { shard, session, fence } of view.owners.values()) {
      const isOwn = session === this.options.getSession() && !this.isStopping;
      if (this.yieldedFences.get(shard) !== fence) this.yieldedFences.delete(shard);
      if (isOwn && !this.owned.has(shard) && !this.yieldedFences.has(shard))
        this.startShard(shard, fence);
    }
  }

  /** Stops all shards permanently; later views start none. */
  stopAll(): void {
    this.isStopping = true;
    for (const shard of [...this.owned.keys()]) this.stopShard(shard);
  }

  /** Until stopped, periodically hands over shards for which another process is preferred. */
  async runHandover(): Promise<void> {
    while (!this.isStopping) {
      await sleep(HANDOVER_INTERVAL_MS);
      const shards = [...this.owned.keys()].filter((shard) => this.hasPreferredOwner(shard));
      if (shards.length > 0 && !this.isStopping) await this.handOver(shards);
    }
  }

  getAll(): ShardOwner[] {
    return [...this.owned.values()];
  }

  reserve(request: ReserveRequestInit, signal: AbortSignal): Promise<ReserveResponseInit> {
    const owner = this.owned.get(request.shard ?? '');
    return owner ? owner.reserve(request, signal) : Promise.resolve(NOT_OWNER);
  }

  async release(request: ReleaseRequestInit): Promise<void> {
    await this.owned.get(request.shard ?? '')?.release(request);
  }

  async markDecoding(request: MarkDecodingRequestInit): Promise<void> {
    this.owned.get(request.shard ?? '')?.markDecoding(request.reservation ?? '');
  }

  async announce(request: AnnounceRequestInit): Promise<AnnounceResponseInit> {
    const owner = this.owned.get(request.shard ?? '');
    return owner ? owner.announce(request) : { accepted: false, reason: 'owner-changed' };
  }

  async summarise(shard: string): Promise<SummaryInit> {
    return this.owned.get(shard)?.summarise() ?? { shard, models: [], services: [] };
  }

  /**
   * Whether another process is preferred as the owner: one in the data centre of the shard when
   * this process is in another, or any that is not draining while this process drains.
   */
  private hasPreferredOwner(shard: string): boolean {
    const dataCentre = shard.slice(0, shard.lastIndexOf('/'));
    const { sessions } = this.options.getView();
    const own = sessions.get(this.options.getSession());
    if (!own) return false;
    const others = [...sessions.values()].filter((each) => each !== own && !each.isDraining);
    if (own.isDraining) return others.length > 0;
    if (dataCentre === own.dataCentre) return false;
    return others.some((session) => session.dataCentre === dataCentre);
  }

  /** Stops granting on the shards before yielding them, so that no two owners grant at once. */
  private async handOver(shards: string[]): Promise<void> {
    const { control, getSession } = this.options;
    const request = { session: getSession(), shards };
    for (const shard of shards) {
      this.yieldedFences.set(shard, this.owned.get(shard)?.fence ?? 0);
      this.stopShard(shard);
    }
    await control
      .call((client, options) => client.yield(request, options), { timeoutMs: YIELD_TIMEOUT_MS })
      .catch(() => shards.forEach((shard) => this.yieldedFences.delete(shard)));
  }

  private startShard(shard: string, fence: number): void {
    const { getView, lease, shared } = this.options;
    const owner = new ShardOwner({
      ...shared,
      shard,
      fence,
      getRelease: () => getView().release,
      isOwner: () => lease.isHeld && this.isOwner(getView(), shard, fence),
      isSessionOpen: (session) => getView().sessions.has(session),
      acquireLoad: (upstream, model) => this.acquireLoad(upstream, model),
      releaseLoad: (upstream, model) => this.releaseLoad(upstream, model),
    });
    this.owned.set(shard, owner);
    shared.timeline.record('shard-owned', { fence, detail: shard });
    owner
      .run()
      .catch((error: unknown) =>
        shared.logger.error({ err: error }, 'shard owner failed; its loop has ended'),
      );
  }

  private stopShard(shard: string): void {
    const owner = this.owned.get(shard);
    this.owned.delete(shard);
    owner?.stop();
    this.options.shared.timeline.record('shard-given-up', { detail: shard });
  }

  private isOwner(view: View, shard: string, fence: number): boolean {
    const owner = view.owners.get(shard);
    return owner?.fence === fence && owner.session === this.options.getSession();
  }

  private async acquireLoad(upstream: string, model: string): Promise<boolean> {
    const request = { upstream, model, done: false };
    const response = await this.options.control.call(
      (client, options) => client.acquireLoad(request, options),
      { timeoutMs: LOAD_CALL_TIMEOUT_MS },
    );
    return response.granted;
  }

  private async releaseLoad(upstream: string, model: string): Promise<void> {
    const request = { upstream, model, done: true };
    await this.options.control
      .call((client, options) => client.acquireLoad(request, options), {
        timeoutMs: LOAD_CALL_TIMEOUT_MS,
      })
      .catch(() => undefined);
  }
}
