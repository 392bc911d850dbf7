import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { PRIORITIES } from '@azurecart/protocol';
import type { Priority } from '@azurecart/protocol';
import type { OwnerDirectory, SummaryMessage } from '../owner/index.js';

/** What a shard is chosen by. */
export interface ShardQuery {
  model: string;
  priority: Priority;
  /** Memory of prompt and answer. */
  tokens: number;
  /** Hash of the prompt's first block; undefined for a prompt shorter than a block. */
  prefix: string | undefined;
  /** Shards that refused the request already. */
  refused: Set<string>;
}

/** An upstream of a plain service. */
export interface ServiceUpstream {
  id: string;
  address: string;
  load: number;
}

/** What a chooser is made of. */
export interface ShardChooserOptions {
  directory: OwnerDirectory;
  dataCentre: string;
  random?: () => number;
}

interface Fresh {
  summary: SummaryMessage;
  at: number;
  /** Requests sent to the shard since the summary. */
  sent: number;
}

const POLL_MS = 300;
/** A summary older than this is not used: its upstreams may have left. */
const USABLE_MS = 1200;
const REMOTE_LIMIT = 12;
/** Expected wait of each request sent since the summary. */
const SENT_WAIT_MS = 3;
/** Wait that a prefix hit is worth. */
const PREFIX_WORTH_MS = 30;
/** Wait that a hop to another data centre is worth. */
const REMOTE_COST_MS = 3;

/** Keeps short summaries of the shards and chooses between two of them. */
export class ShardChooser {
  private readonly summaries = new Map<string, Fresh>();

  private isStopped = false;

  private readonly random: () => number;

  constructor(private readonly options: ShardChooserOptions) {
    this.random = options.random ?? Math.random;
  }

  /** Polls the owners until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const shards = this.getPolled();
      shards.forEach((shard) => {
        this.poll(shard).catch(() => undefined);
      });
      await sleep(POLL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Gets the better of two shards that serve a model; undefined when none does. */
  choose(query: ShardQuery): string | undefined {
    const candidates = this.getCandidates(query);
    if (candidates.length <= 1) return this.note(candidates[0]);
    const first = getHighest(candidates, query.prefix) ?? this.pick(candidates);
    const second = this.pick(candidates.filter((shard) => shard !== first));
    const worth = query.prefix === undefined ? 0 : PREFIX_WORTH_MS;
    const isFirstBetter = this.getWaitMs(first, query) <= this.getWaitMs(second, query) + worth;
    return this.note(isFirstBetter ? first : second);
  }

  /** Tells whether any known shard serves a model. */
  hasModel(model: string): boolean {
    return this.getUsable().some(([, { summary }]) => getModel(summary, model) !== undefined);
  }

  /** Gets the shortest expected wait of any shard, for any model; undefined when none is known. */
  getShortestWaitMs(priority: Priority): number | undefined {
    const waits = this.getUsable().flatMap(([, { summary }]) =>
      (summary.models ?? []).map((model) => model.waitMs?.[PRIORITIES.indexOf(priority)] ?? 0),
    );
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** Gets the upstreams of a plain service. */
  getServiceUpstreams(service: string): ServiceUpstream[] {
    const all = this.getUsable().flatMap(([, { summary }]) => summary.services ?? []);
    return all
      .filter((upstream) => upstream.service === service)
      .map(({ id, address, load }) => ({ id: id ?? '', address: address ?? '', load: load ?? 0 }));
  }

  /** Asks a shard for its summary. */
  private async poll(shard: string): Promise<void> {
    const askedAt = performance.now();
    const summary = await this.options.directory.getOwner(shard)?.summarise(shard);
    const known = this.summaries.get(shard);
    if (!summary || (known && known.at > askedAt)) return;
    this.summaries.set(shard, { summary, at: askedAt, sent: 0 });
  }

  /** Gets the shards to ask now: all near ones, and a few of the others. */
  private getPolled(): string[] {
    const shards = this.options.directory.getShards();
    const local = shards.filter((shard) => this.isLocal(shard));
    const remote = shards.filter((shard) => !this.isLocal(shard));
    const chosen = remote.length <= REMOTE_LIMIT ? remote : this.sample(remote);
    return [...local, ...chosen];
  }

  private sample(shards: string[]): string[] {
    return Array.from({ length: REMOTE_LIMIT }, () => this.pick(shards));
  }

  private getCandidates(query: ShardQuery): string[] {
    return this.getUsable()
      .filter(([shard, { summary }]) => {
        const model = getModel(summary, query.model);
        const hasRoom = (model?.totalTokens ?? 0) >= query.tokens;
        return hasRoom && !query.refused.has(shard);
      })
      .map(([shard]) => shard);
  }

  private getUsable(): [string, Fresh][] {
    const now = performance.now();
    return [...this.summaries].filter(([, { at }]) => now - at < USABLE_MS);
  }

  private getWaitMs(shard: string, { model, priority }: ShardQuery): number {
    const fresh = this.summaries.get(shard);
    const wait = getModel(fresh?.summary, model)?.waitMs?.[PRIORITIES.indexOf(priority)] ?? 0;
    const hop = this.isLocal(shard) ? 0 : REMOTE_COST_MS;
    return wait + hop + (fresh?.sent ?? 0) * SENT_WAIT_MS;
  }

  private note(shard: string | undefined): string | undefined {
    const fresh = this.summaries.get(shard ?? '');
    if (fresh) fresh.sent += 1;
    return shard;
  }

  private pick(shards: string[]): string {
    return shards[Math.floor(this.random() * shards.length)] ?? '';
  }

  private isLocal(shard: string): boolean {
    return shard.startsWith(`${this.options.dataCentre}/`);
  }
}

function getModel(
  summary: SummaryMessage | undefined,
  name: string,
): NonNullable<SummaryMessage['models']>[number] | undefined {
  return summary?.models?.find((model) => model.model === name);
}

/** Gets the shard to which prompts with this first block belong, so that they meet in one cache. */
function getHighest(shards: string[], prefix: string | undefined): string | undefined {
  if (prefix === undefined) return undefined;
  const scored = shards.map((shard) => ({
    shard,
    score: createHash('sha256').update(`${shard} ${prefix}`).digest().readUInt32BE(0),
  }));
  return scored.sort((a, b) => b.score - a.score)[0]?.shard;
}
