import { NEUTRAL_CAPACITY } from '../capacity/index.js';
import type { UpstreamCapacity } from '../capacity/index.js';
import type { Engine, Ledger } from '../ledger/index.js';
import { getMemoryTokens, WORK_PRIORITIES } from '../workload/index.js';
import type { WorkItem, WorkPriority } from '../workload/index.js';
import { UrgentEnginePool } from './UrgentEnginePool.js';
import { findGangShares } from './findGangShares.js';
import type { PlacementResult, PlacementPolicy, PlacementContext } from './PlacementPolicy.js';

export interface LengthAwarePlacementOptions {
  /** Tokens per block of the prefix cache. */
  blockTokens?: number;
  /**
   * Maximum backlog in milliseconds, at equal or higher engine priority, at which an engine accepts
   * a short prompt.
   */
  backlogLimitMs?: number;
  /** Knows how much work each engine takes well; by default, all are as fast as announced. */
  capacity?: UpstreamCapacity;
}

/** Share of an engine's memory and batch slots that each priority leaves to higher ones. */
const HEADROOM_SHARE: Record<WorkPriority, number> = { urgent: 0, standard: 0.05, batch: 0.15 };

/** Default of `blockTokens`. */
const BLOCK_TOKENS = 512;
/** Default of `backlogLimitMs`. */
const BACKLOG_LIMIT_MS = 60;
/** Engine priorities per priority class: two length classes times two fair-share classes. */
const LEVELS_PER_PRIORITY = 4;
/** Delay of a prompt that shares a step with a prompt of another engine priority. */
const MIXED_PRIORITY_COST_MS = 10;
/** Delay of a prompt that shares steps with a prompt of another length class. */
const MIXED_LENGTH_COST_MS = 20;
/** Delay that each running request adds to a new one, as a share of a decode step. */
const BATCH_WEIGHT = 0.1;

/**
 * Separates long prompts from short ones, prefers engines that have the prompt's prefix cached,
 * keeps engine queues short, and leaves headroom for urgent work.
 */
export class LengthAwarePlacement implements PlacementPolicy {
  private readonly urgentEngines = new UrgentEnginePool();

  /** Engines held back for a prompt larger than any engine until they have enough free memory. */
  private gang: { work: string; engines: Set<string> } | undefined;

  private readonly capacity: UpstreamCapacity;

  constructor(private readonly options: LengthAwarePlacementOptions = {}) {
    this.capacity = options.capacity ?? NEUTRAL_CAPACITY;
  }

  findPlace(context: PlacementContext): PlacementResult | undefined {
    const { work, ledger } = context;
    this.discardStaleGang(ledger);
    const usable = ledger.getUsableEngines(work);
    const tokens = getMemoryTokens(work);
    if (usable.every((engine) => engine.capacity.kvTokens < tokens)) {
      return this.placeOnGang(context, usable, tokens);
    }
    return this.placeOnOneEngine(context, ledger.getServingEngines(work.model), tokens);
  }

  private placeOnOneEngine(
    context: PlacementContext,
    engines: Engine[],
    tokens: number,
  ): PlacementResult | undefined {
    const { work, now } = context;
    const enginePriority = getEnginePriority(context, engines);
    const fitting = engines.filter(
      (engine) =>
        this.mayUseEngine(engine, context, engines) && this.canAccept(engine, context, tokens),
    );
    const ranked = fitting
      .map((engine) => ({ engine, delayMs: this.getDelayMs(engine, work, enginePriority, now) }))
      .filter(({ engine }) => this.isBacklogAcceptable(engine, work, enginePriority, now))
      .map(({ engine, delayMs }) => {
        const slowdown = this.capacity.getSlowdown(engine.id);
        return { engine, delayMs, cost: delayMs * slowdown };
      })
      .sort((a, b) => a.cost - b.cost);
    const best = ranked[0]?.engine;
    if (!best) return undefined;
    const expectedMs = (ranked[0]?.delayMs ?? 0) + best.capacity.decodeStepMs;
    if (work.priority === 'urgent') this.urgentEngines.recordPlaced(work, now);
    const cachedTokens = this.getCachedTokens(best, work);
    return { shares: [{ engine: best, tokens }], cachedTokens, enginePriority, expectedMs };
  }

  /** Estimates the time to first token, with a penalty for mixing lengths and priorities. */
  private getDelayMs(engine: Engine, work: WorkItem, enginePriority: number, now: number): number {
    const uncached = work.promptTokens - this.getCachedTokens(engine, work);
    const ownMs = (uncached / engine.capacity.prefillTokensPerSecond) * 1000;
    const batchMs = engine.runningCount * engine.capacity.decodeStepMs * BATCH_WEIGHT;
    const mixingCostMs = getMixingCostMs(engine, work, enginePriority, now);
    return ownMs + engine.getBacklogMs(enginePriority, now) + batchMs + mixingCostMs;
  }

  /** Keeps batch work off the urgent engines, unless its priority is below its minimum share. */
  private mayUseEngine(engine: Engine, context: PlacementContext, engines: Engine[]): boolean {
    const { work, isBelowMinimumShare, now } = context;
    if (work.priority !== 'batch' || isBelowMinimumShare) return true;
    return !this.urgentEngines.has(engine, engines, now);
  }

  private isBacklogAcceptable(
    engine: Engine,
    work: WorkItem,
    enginePriority: number,
    now: number,
  ): boolean {
    const backlogMs = engine.getBacklogMs(enginePriority, now);
    if (!work.isLong) return backlogMs < this.getBacklogLimit();
    const hasLong = engine
      .getReservations()
      .some((other) => other.isLong && engine.isPrefilling(other, now));
    return !hasLong;
  }

  private canAccept(engine: Engine, context: PlacementContext, tokens: number): boolean {
    const { work, isBelowMinimumShare } = context;
    if (work.avoidedEngines.includes(engine.id)) return false;
    const { kvTokens } = engine.capacity;
    const maxBatch = this.capacity.getLimit(engine.id, engine.capacity.maxBatch);
    const isHeldBackForGang = this.gang?.engines.has(engine.id) ?? false;
    if (isHeldBackForGang && (work.isLong || work.priority === 'batch')) return false;
    const headroom = isBelowMinimumShare ? 0 : HEADROOM_SHARE[work.priority];
    const memoryLimit = Math.floor(kvTokens * (1 - headroom));
    // An idle engine is exempt: a prompt that needs more than the limit would fit on no engine.
    const isIdle = engine.reservedTokens === 0;
    if (!isIdle && engine.reservedTokens + tokens > memoryLimit) return false;
    return (
      engine.freeTokens >= tokens && engine.runningCount < Math.ceil(maxBatch * (1 - headroom))
    );
  }

  private placeOnGang(
    context: PlacementContext,
    engines: Engine[],
    tokens: number,
  ): PlacementResult | undefined {
    const { work } = context;
    if (this.gang && this.gang.work !== work.id) return undefined;
    const shares = findGangShares(engines, tokens);
    if (!shares) {
      this.gang ??= { work: work.id, engines: chooseGang(engines, tokens) };
      return undefined;
    }
    this.gang = undefined;
    return { shares, cachedTokens: 0, enginePriority: getEnginePriority(context, engines) };
  }

  forget(id: string): void {
    if (this.gang?.work === id) this.gang = undefined;
  }

  /** Discards the gang when one of its engines is gone or not ready. */
  private discardStaleGang(ledger: Ledger): void {
    if (!this.gang) return;
    const isComplete = [...this.gang.engines].every((id) => ledger.getEngine(id)?.isReady);
    if (!isComplete) this.gang = undefined;
  }

  private getCachedTokens(engine: Engine, work: WorkItem): number {
    const blockTokens = this.options.blockTokens ?? BLOCK_TOKENS;
    const missing = work.prefixes.findIndex((prefix) => !engine.prefixes.has(prefix));
    const blocks = missing === -1 ? work.prefixes.length : missing;
    return Math.min(blocks * blockTokens, Math.max(work.promptTokens - 1, 0));
  }

  private getBacklogLimit(): number {
    return this.options.backlogLimitMs ?? BACKLOG_LIMIT_MS;
  }
}

/** Gets the delay caused by sharing steps with prompts of another length or priority. */
function getMixingCostMs(
  engine: Engine,
  work: WorkItem,
  enginePriority: number,
  now: number,
): number {
  const others = engine.getReservations().filter((other) => engine.isPrefilling(other, now));
  if (others.some((other) => other.isLong !== work.isLong)) return MIXED_LENGTH_COST_MS;
  return others.some((other) => other.enginePriority !== enginePriority)
    ? MIXED_PRIORITY_COST_MS
    : 0;
}

/**
 * Gets the priority on the engine: ordered by priority class, then length, then fair share. Work
 * whose priority class is below its minimum share is ordered like urgent work.
 */
function getEnginePriority(
  { work, isBelowMinimumShare }: PlacementContext,
  engines: Engine[],
): number {
  const classIndex = isBelowMinimumShare ? 0 : WORK_PRIORITIES.indexOf(work.priority);
  const length = work.isLong ? 2 : 0;
  const share = isOverShare(work, engines) ? 1 : 0;
  return classIndex * LEVELS_PER_PRIORITY + length + share;
}

/**
 * Returns true when a customer would hold more than an equal share of the memory used by its
 * priority. One extra customer is counted, so that a new customer runs before those already
 * present.
 */
function isOverShare(work: WorkItem, engines: Engine[]): boolean {
  const held = new Map<string, number>();
  for (const engine of engines) {
    for (const { customer, tokens, priority } of engine.getReservations()) {
      if (priority === work.priority) held.set(customer, (held.get(customer) ?? 0) + tokens);
    }
  }
  const own = (held.get(work.customer) ?? 0) + getMemoryTokens(work);
  held.set(work.customer, own);
  const total = [...held.values()].reduce((sum, tokens) => sum + tokens, 0);
  return own > total / (held.size + 1);
}

/**
 * Chooses the engines to hold back, those with the most free memory first. Their whole capacity
 * counts, as running requests release their memory while the gang waits.
 */
function chooseGang(engines: Engine[], tokens: number): Set<string> {
  const chosen = new Set<string>();
  let missing = tokens;
  for (const engine of [...engines].sort((a, b) => b.freeTokens - a.freeTokens)) {
    if (missing <= 0) break;
    chosen.add(engine.id);
    missing -= engine.capacity.kvTokens;
  }
  return chosen;
}
