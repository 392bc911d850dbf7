import { setTimeout as sleep } from 'node:timers/promises';
import type { ControlClient } from '../../rpc/index.js';
import type { ConfigurationLease, View } from '../view/index.js';
import type {
  AnnounceAnswer,
  AnnounceCall,
  MarkDecodingCall,
  OwnerCalls,
  ReleaseCall,
  ReserveAnswer,
  ReserveCall,
  SummaryMessage,
} from './OwnerCalls.js';
import { ShardOwner } from './ShardOwner.js';
import type { ShardOwnerOptions } from './ShardOwner.js';

/** What the owned shards share. */
export interface OwnersOptions {
  getView: () => View;
  /** Gets the session of this process. */
  getSession: () => string;
  lease: ConfigurationLease;
  control: ControlClient;
  shared: Pick<ShardOwnerOptions, 'settings' | 'client' | 'timeline' | 'invariants' | 'logger'>;
}

const LOAD_CALL_TIMEOUT_MS = 2000;
const YIELD_TIMEOUT_MS = 5000;
const HANDOVER_PERIOD_MS = 1000;
const RETRY_MS = 100;
const NOT_OWNER: ReserveAnswer = {
  granted: false,
  reason: 'owner-changed',
  retryAfterMs: RETRY_MS,
};

/** The shards that this process owns. */
export class Owners implements OwnerCalls {
  private readonly owned = new Map<string, ShardOwner>();

  /** Fencing numbers of the assignments that are being handed to other processes. */
  private readonly leaving = new Map<string, number>();

  private isYielding = false;

  constructor(private readonly options: OwnersOptions) {}

  /** Starts and stops shards so that they agree with the view. */
  follow(view: View): void {
    for (const [shard, owner] of this.owned) {
      if (!this.isOwner(view, shard, owner.fence)) this.stopShard(shard);
    }
    for (const { shard, session, fence } of view.owners.values()) {
      const isOwn = session === this.options.getSession() && !this.isYielding;
      if (this.leaving.get(shard) !== fence) this.leaving.delete(shard);
      if (isOwn && !this.owned.has(shard) && !this.leaving.has(shard))
        this.startShard(shard, fence);
    }
  }

  /** Stops granting on all shards, for good. */
  yield(): void {
    this.isYielding = true;
    for (const shard of [...this.owned.keys()]) this.stopShard(shard);
  }

  /** Hands shards to processes that should rather own them, until stopped. */
  async runHandover(): Promise<void> {
    while (!this.isYielding) {
      await sleep(HANDOVER_PERIOD_MS);
      const shards = [...this.owned.keys()].filter((shard) => this.hasBetterOwner(shard));
      if (shards.length > 0 && !this.isYielding) await this.handOver(shards);
    }
  }

  getAll(): ShardOwner[] {
    return [...this.owned.values()];
  }

  reserve(call: ReserveCall, signal: AbortSignal): Promise<ReserveAnswer> {
    const owner = this.owned.get(call.shard ?? '');
    return owner ? owner.reserve(call, signal) : Promise.resolve(NOT_OWNER);
  }

  async release(call: ReleaseCall): Promise<void> {
    await this.owned.get(call.shard ?? '')?.release(call);
  }

  async markDecoding(call: MarkDecodingCall): Promise<void> {
    this.owned.get(call.shard ?? '')?.markDecoding(call.reservation ?? '');
  }

  async announce(call: AnnounceCall): Promise<AnnounceAnswer> {
    const owner = this.owned.get(call.shard ?? '');
    return owner ? owner.announce(call) : { accepted: false, reason: 'owner-changed' };
  }

  async summarise(shard: string): Promise<SummaryMessage> {
    return this.owned.get(shard)?.summarise() ?? { shard, models: [], services: [] };
  }

  /** Tells whether another process should own a shard: a nearer one, or any while this drains. */
  private hasBetterOwner(shard: string): boolean {
    const dataCentre = shard.slice(0, shard.lastIndexOf('/'));
    const { sessions } = this.options.getView();
    const own = sessions.get(this.options.getSession());
    if (!own) return false;
    const others = [...sessions.values()].filter((each) => each !== own && !each.isDraining);
    if (own.isDraining) return others.length > 0;
    if (dataCentre === own.dataCentre) return false;
    return others.some((session) => session.dataCentre === dataCentre);
  }

  /** Stops granting first, and only then lets others have the shards. */
  private async handOver(shards: string[]): Promise<void> {
    const { control, getSession } = this.options;
    const request = { session: getSession(), shards };
    for (const shard of shards) {
      this.leaving.set(shard, this.owned.get(shard)?.fence ?? 0);
      this.stopShard(shard);
    }
    await control
      .call((client, options) => client.yield(request, options), { timeoutMs: YIELD_TIMEOUT_MS })
      .catch(() => shards.forEach((shard) => this.leaving.delete(shard)));
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
    owner.run().catch((error: unknown) => shared.logger.error({ err: error }, 'shard ended'));
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
    const answer = await this.options.control.call(
      (client, options) => client.acquireLoad(request, options),
      { timeoutMs: LOAD_CALL_TIMEOUT_MS },
    );
    return answer.granted;
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
