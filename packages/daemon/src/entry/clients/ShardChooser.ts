import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { PRIORITIES } from '@azurecart/protocol';
import type { Priority } from '@azurecart/protocol';
import type { OwnerDirectory, SummaryInit } from '../owner/index.js';

/** Criteria by which a shard is chosen. */
export interface ShardQuery {
  model: string;
  priority: Priority;
  /** Memory that the prompt and its completion need, in tokens. */
  tokens: number;
  /** Hash of the prompt's first block; undefined for a prompt shorter than a block. */
  prefix: string | undefined;
  /** Shards that have already refused the request. */
  excludedShards: Set<string>;
}

/** An upstream of a plain service. */
export interface ServiceUpstream {
  id: string;
  address: string;
  /** Number of running requests that the upstream reported. */
  load: number;
}

export interface ShardChooserOptions {
  directory: OwnerDirectory;
  dataCentre: string;
  random?: () => number;
}

interface CachedSummary {
  summary: SummaryInit;
  requestedAt: number;
  /** Number of times that the shard was chosen since the summary was received. */
  timesChosen: number;
}

const POLL_INTERVAL_MS = 300;
/** Older summaries are not used, since their upstreams may have left. */
const MAX_SUMMARY_AGE_MS = 1200;
/**
 * Limits the calls to other data centres. Summaries are used for
 * `MAX_SUMMARY_AGE_MS / POLL_INTERVAL_MS` = 4 polls, so at most 48 remote shards are known at once.
 */
const MAX_REMOTE_SHARDS_PER_POLL = 12;
/** Expected additional wait for each time that the shard was chosen since the summary. */
const WAIT_PER_CHOICE_MS = 3;
/** Additional wait that is accepted for a likely prefix-cache hit. */
const PREFIX_AFFINITY_BONUS_MS = 30;
/** Penalty for a shard in another data centre, as additional wait. */
const REMOTE_HOP_PENALTY_MS = 3;

/** Polls summaries of the shards and chooses the better of two shards for each request. */
export class ShardChooser {
  private readonly summaries = new Map<string, CachedSummary>();

  private isStopped = false;

  private readonly random: () => number;

  constructor(private readonly options: ShardChooserOptions) {
    this.random = options.random ?? Math.random;
  }

  /** Polls the shard owners until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const shards = this.getShardsToPoll();
      shards.forEach((shard) => {
        this.poll(shard).catch(() => undefined);
      });
      await sleep(POLL_INTERVAL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Chooses between two shards that serve a model: the one that rendezvous hashing assigns to the
   * prefix, or a random one for a prompt without a prefix, and another random one. Returns
   * undefined when no shard qualifies.
   */
  choose(query: ShardQuery): string | undefined {
    const candidates = this.getCandidates(query);
    if (candidates.length <= 1) return this.countChoice(candidates[0]);
    const first = getRendezvousShard(candidates, query.prefix) ?? this.pickRandom(candidates);
    const second = this.pickRandom(candidates.filter((shard) => shard !== first));
    const affinityBonusMs = query.prefix === undefined ? 0 : PREFIX_AFFINITY_BONUS_MS;
    const isFirstBetter =
      this.getWaitMs(first, query) <= this.getWaitMs(second, query) + affinityBonusMs;
    return this.countChoice(isFirstBetter ? first : second);
  }

  /** Tells whether any shard with a fresh summary serves a model. */
  hasModel(model: string): boolean {
    return this.getFreshSummaries().some(
      ([, { summary }]) => getModel(summary, model) !== undefined,
    );
  }

  /** Gets the shortest expected wait over all shards and models; undefined when none is known. */
  getShortestWaitMs(priority: Priority): number | undefined {
    const waits = this.getFreshSummaries().flatMap(([, { summary }]) =>
      (summary.models ?? []).map((model) => model.waitMs?.[PRIORITIES.indexOf(priority)] ?? 0),
    );
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** Gets the upstreams of a plain service. */
  getServiceUpstreams(service: string): ServiceUpstream[] {
    const all = this.getFreshSummaries().flatMap(([, { summary }]) => summary.services ?? []);
    return all
      .filter((upstream) => upstream.service === service)
      .map(({ id, address, load }) => ({ id: id ?? '', address: address ?? '', load: load ?? 0 }));
  }

  private async poll(shard: string): Promise<void> {
    const sentAt = performance.now();
    const summary = await this.options.directory.getOwner(shard)?.summarise(shard);
    const cached = this.summaries.get(shard);
    if (!summary || (cached && cached.requestedAt > sentAt)) return;
    this.summaries.set(shard, { summary, requestedAt: sentAt, timesChosen: 0 });
  }

  /**
   * Gets all shards of the local data centre and a random sample of the others. The sample is drawn
   * with replacement, so it may contain a shard twice.
   */
  private getShardsToPoll(): string[] {
    const shards = this.options.directory.getShards();
    const local = shards.filter((shard) => this.isLocal(shard));
    const remote = shards.filter((shard) => !this.isLocal(shard));
    const chosen = remote.length <= MAX_REMOTE_SHARDS_PER_POLL ? remote : this.sample(remote);
    return [...local, ...chosen];
  }

  private sample(shards: string[]): string[] {
    return Array.from({ length: MAX_REMOTE_SHARDS_PER_POLL }, () => this.pickRandom(shards));
  }

  private getCandidates(query: ShardQuery): string[] {
    return this.getFreshSummaries()
      .filter(([shard, { summary }]) => {
        const model = getModel(summary, query.model);
        const hasCapacity = (model?.totalTokens ?? 0) >= query.tokens;
        return hasCapacity && !query.excludedShards.has(shard);
      })
      .map(([shard]) => shard);
  }

  private getFreshSummaries(): [string, CachedSummary][] {
    const now = performance.now();
    return [...this.summaries].filter(([, { requestedAt: at }]) => now - at < MAX_SUMMARY_AGE_MS);
  }

  private getWaitMs(shard: string, { model, priority }: ShardQuery): number {
    const cached = this.summaries.get(shard);
    const modelWaitMs =
      getModel(cached?.summary, model)?.waitMs?.[PRIORITIES.indexOf(priority)] ?? 0;
    const hopPenaltyMs = this.isLocal(shard) ? 0 : REMOTE_HOP_PENALTY_MS;
    return modelWaitMs + hopPenaltyMs + (cached?.timesChosen ?? 0) * WAIT_PER_CHOICE_MS;
  }

  private countChoice(shard: string | undefined): string | undefined {
    const cached = this.summaries.get(shard ?? '');
    if (cached) cached.timesChosen += 1;
    return shard;
  }

  private pickRandom(shards: string[]): string {
    return shards[Math.floor(this.random() * shards.length)] ?? '';
  }

  private isLocal(shard: string): boolean {
    return shard.startsWith(`${this.options.dataCentre}/`);
  }
}

function getModel(
  summary: SummaryInit | undefined,
  name: string,
): NonNullable<SummaryInit['models']>[number] | undefined {
  return summary?.models?.find((model) => model.model === name);
}

/** Assigns a prefix to a shard by rendezvous hashing, so that its prompts share a cache. */
function getRendezvousShard(shards: string[], prefix: string | undefined): string | undefined {
  if (prefix === undefined) return undefined;
  const scored = shards.map((shard) => ({
    shard,
    score: createHash('sha256').update(`${shard} ${prefix}`).digest().readUInt32BE(0),
  }));
  return scored.sort((a, b) => b.score - a.score)[0]?.shard;
}
