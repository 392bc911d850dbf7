import type { Engine, Ledger } from '../ledger/index.js';
import { getMemoryTokens, WORK_PRIORITIES } from '../workload/index.js';
import type { Work, WorkPriority } from '../workload/index.js';
import { ClearEngines } from './ClearEngines.js';
import { findGang } from './findGang.js';
import type { Place, Placement, PlacementRequest } from './Placement.js';

/** Time limits and shares of the placement. */
export interface ClassPlacementOptions {
  /** Tokens of a prefix block. */
  blockTokens?: number;
  /** Prefill of equal or higher engine priority that an engine may have ahead of a new prompt. */
  backlogLimitMs?: number;
}

/** Memory of an engine that a priority leaves free for higher ones. */
const HEADROOM: Record<WorkPriority, number> = { urgent: 0, standard: 0.05, batch: 0.15 };

const BLOCK_TOKENS = 512;
const BACKLOG_LIMIT_MS = 60;
const LEVELS_PER_PRIORITY = 4;
/** Time by which a step shared with other prompts delays one that runs first. */
const STEP_MS = 10;
/** Time by which steps shared with a prompt of another length class delay a prompt. */
const LONG_MIX_MS = 20;
/** Cost of a running request beside a new one, as a part of a decode step. */
const BATCH_WEIGHT = 0.1;

/**
 * Keeps long prompts apart from short ones, prefers engines that hold the prompt's prefix, keeps
 * engine queues short, and leaves headroom for urgent work.
 */
export class ClassPlacement implements Placement {
  private readonly clear = new ClearEngines();

  /** Engines that collect memory for a prompt larger than one engine. */
  private gang: { work: string; engines: Set<string> } | undefined;

  constructor(private readonly options: ClassPlacementOptions = {}) {}

  findPlace(request: PlacementRequest): Place | undefined {
    const { work, ledger } = request;
    this.forgetOldGang(ledger);
    const engines = ledger.getServing(work.model);
    const tokens = getMemoryTokens(work);
    if (engines.every((engine) => engine.capacity.kvTokens < tokens)) {
      return this.findGangPlace(request, engines, tokens);
    }
    return this.findSinglePlace(request, engines, tokens);
  }

  private findSinglePlace(
    request: PlacementRequest,
    engines: Engine[],
    tokens: number,
  ): Place | undefined {
    const { work, now } = request;
    const enginePriority = getEnginePriority(request, engines);
    const fitting = engines.filter(
      (engine) => this.isOpen(engine, request, engines) && this.hasRoom(engine, request, tokens),
    );
    const ranked = fitting
      .map((engine) => ({ engine, score: this.getScore(engine, work, enginePriority, now) }))
      .filter(({ engine }) => this.isShort(engine, work, enginePriority, now))
      .sort((a, b) => a.score - b.score);
    const best = ranked[0]?.engine;
    if (!best) return undefined;
    if (work.priority === 'urgent') this.clear.addUrgent(work, now);
    const cachedTokens = this.getCachedTokens(best, work);
    return { shares: [{ engine: best, tokens }], cachedTokens, enginePriority };
  }

  /** Gets the expected time to the first token, with a penalty for mixing lengths. */
  private getScore(engine: Engine, work: Work, enginePriority: number, now: number): number {
    const uncached = work.promptTokens - this.getCachedTokens(engine, work);
    const ownMs = (uncached / engine.capacity.prefillTokensPerSecond) * 1000;
    const batchMs = engine.running * engine.capacity.decodeStepMs * BATCH_WEIGHT;
    const mixMs = getMixMs(engine, work, enginePriority, now);
    return ownMs + engine.getBacklogMs(enginePriority, now) + batchMs + mixMs;
  }

  /** Batch work stays off the engines that are kept clear for urgent work. */
  private isOpen(engine: Engine, request: PlacementRequest, engines: Engine[]): boolean {
    const { work, isShareDue, now } = request;
    if (work.priority !== 'batch' || isShareDue) return true;
    return !this.clear.has(engine, engines, now);
  }

  private isShort(engine: Engine, work: Work, enginePriority: number, now: number): boolean {
    const backlogMs = engine.getBacklogMs(enginePriority, now);
    if (!work.isLong) return backlogMs < this.getBacklogLimit();
    const hasLong = engine
      .getReservations()
      .some((other) => other.isLong && engine.isPrefilling(other, now));
    return !hasLong;
  }

  private hasRoom(engine: Engine, request: PlacementRequest, tokens: number): boolean {
    const { work, isShareDue } = request;
    if (work.avoided.includes(engine.id)) return false;
    const { kvTokens, maxBatch } = engine.capacity;
    const isSetAside = this.gang?.engines.has(engine.id) ?? false;
    if (isSetAside && (work.isLong || work.priority === 'batch')) return false;
    const headroom = isShareDue ? 0 : HEADROOM[work.priority];
    const largest = Math.floor(kvTokens * (1 - headroom));
    const isAlone = engine.reservedTokens === 0;
    if (!isAlone && engine.reservedTokens + tokens > largest) return false;
    return engine.freeTokens >= tokens && engine.running < Math.ceil(maxBatch * (1 - headroom));
  }

  private findGangPlace(
    request: PlacementRequest,
    engines: Engine[],
    tokens: number,
  ): Place | undefined {
    const { work } = request;
    if (this.gang && this.gang.work !== work.id) return undefined;
    const shares = findGang(engines, tokens);
    if (!shares) {
      this.gang ??= { work: work.id, engines: chooseGang(engines, tokens) };
      return undefined;
    }
    this.gang = undefined;
    return { shares, cachedTokens: 0, enginePriority: getEnginePriority(request, engines) };
  }

  /** Forgets a collected gang whose work has left the queue. */
  forgetWork(id: string): void {
    if (this.gang?.work === id) this.gang = undefined;
  }

  private forgetOldGang(ledger: Ledger): void {
    if (!this.gang) return;
    const isWhole = [...this.gang.engines].every((id) => ledger.getEngine(id)?.isReady);
    if (!isWhole) this.gang = undefined;
  }

  private getCachedTokens(engine: Engine, work: Work): number {
    const blockTokens = this.options.blockTokens ?? BLOCK_TOKENS;
    const missing = work.prefixes.findIndex((prefix) => !engine.prefixes.has(prefix));
    const blocks = missing === -1 ? work.prefixes.length : missing;
    return Math.min(blocks * blockTokens, Math.max(work.promptTokens - 1, 0));
  }

  private getBacklogLimit(): number {
    return this.options.backlogLimitMs ?? BACKLOG_LIMIT_MS;
  }
}

/** Gets the cost of sharing steps with prompts of another length or priority. */
function getMixMs(engine: Engine, work: Work, enginePriority: number, now: number): number {
  const others = engine.getReservations().filter((other) => engine.isPrefilling(other, now));
  if (others.some((other) => other.isLong !== work.isLong)) return LONG_MIX_MS;
  return others.some((other) => other.enginePriority !== enginePriority) ? STEP_MS : 0;
}

/** Gets the level at which the engine runs a work: priority, then length, then fair share. */
function getEnginePriority({ work, isShareDue }: PlacementRequest, engines: Engine[]): number {
  const level = isShareDue ? 0 : WORK_PRIORITIES.indexOf(work.priority);
  const length = work.isLong ? 2 : 0;
  const share = isOverShare(work, engines) ? 1 : 0;
  return level * LEVELS_PER_PRIORITY + length + share;
}

/**
 * Tells whether a customer holds more memory than its equal part of what its priority uses. One more
 * customer counts as present, so that a newcomer runs before what is there.
 */
function isOverShare(work: Work, engines: Engine[]): boolean {
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
