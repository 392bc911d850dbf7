import { RateLimiter } from '../limits/index.js';
import { MAX_QUARANTINE_RETRY_MS, PoisonTable } from '../poison/index.js';
import {
  chooseForLongPrompt,
  chooseForShortPrompt,
  chooseMultipleEngines,
  MAX_HELPERS,
  MAX_ENGINES_PER_PROMPT,
  OBJECTIVE_SHARE,
  PREFILL_SHARE,
  MIN_DECODE_MS,
} from './choices/index.js';
import type { EngineChoice } from './choices/index.js';
import type { EngineDecision, EngineHelper, EngineJob } from './EngineJob.js';
import { EngineHealth } from './EngineHealth.js';
import type { JobEnding } from './EngineHealth.js';
import { EngineLoad, LONG_PREFILL_MS } from './EngineLoad.js';
import type { EngineDescriptor } from './EngineLoad.js';
import { LatencyModel } from './LatencyModel.js';
import type { PerformanceProfile } from './LatencyModel.js';
import { PartTrials } from './PartTrials.js';

export interface EngineSchedulerOptions {
  profile: PerformanceProfile;
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  /** Called when a queued job is placed or refused. */
  onDecided: (id: string, decision: EngineDecision) => void;
  /** Evidence about prompt parts that end engines; without it, none is known. */
  poison?: PoisonTable;
  /** Limits that engines have named; without it, they have none. */
  limiter?: RateLimiter;
}

interface QueuedJob {
  job: EngineJob;
  arrivedAt: number;
  deadlineAt: number;
}

/**
 * Share of an engine's memory that prompts may use. The rest is left for output tokens, which are
 * not counted in `heldTokens`.
 */
const MEMORY_SHARE = 0.95;
/** Bounds of the retry delay of a refusal, in milliseconds. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 1200;
/** Share of its objective for which a queued multi-engine prompt holds back later long prompts. */
const HOLD_BACK_SHARE = 0.5;

const MS_PER_SECOND = 1000;
/**
 * Wait for the limits of engines, in terms of a job's objective, above which the job is refused: it
 * would be late anyway, and take the turn of another that is not.
 */
const LIMIT_PATIENCE = 4;
/** Time in milliseconds over which the rate of placements is measured. */
const RATE_WINDOW_MS = 4000;
/** Share of the limits of all engines that a job can count on beside more urgent ones. */
const MIN_OWN_SHARE = 0.1;

const QUEUED: EngineDecision = { kind: 'queued' };

/**
 * Decides which engine serves each prompt of one service.
 * @remarks A long prefill delays all streams on the same engine beyond their pause limits. Short
 * prompts are packed on few engines, so that others stay idle for long ones. Long prompts wait for
 * an idle engine while their objective or, after that, the time for which the client waits allows
 * it. Idle engines help to prefill the longest.
 */
export class EngineScheduler {
  private readonly loads = new Map<string, EngineLoad>();

  private readonly health = new EngineHealth();

  private readonly trials = new PartTrials();

  private readonly poison: PoisonTable;

  private readonly limiter: RateLimiter;

  private queue: QueuedJob[] = [];

  /** Jobs placed within `RATE_WINDOW_MS` while all engines had a limit. */
  private recentPlacements: { at: number; priority: number }[] = [];

  private model: LatencyModel;

  constructor(private readonly options: EngineSchedulerOptions) {
    this.model = new LatencyModel(options.profile);
    this.limiter =
      options.limiter ?? new RateLimiter({ now: options.now, getLimit: () => undefined });
    this.poison = options.poison ?? new PoisonTable({ now: options.now });
  }

  get queueLength(): number {
    return this.queue.length;
  }

  /**
   * Sets the engines that accept jobs. Other engines are discarded together with their jobs and
   * health records, so an engine that returns starts without avoidance.
   */
  setEngines(engines: EngineDescriptor[]): void {
    const wanted = new Set(engines.map((engine) => engine.id));
    for (const id of this.loads.keys()) if (!wanted.has(id)) this.loads.delete(id);
    this.health.retain((id) => wanted.has(id));
    for (const engine of engines) {
      if (!this.loads.has(engine.id)) this.loads.set(engine.id, new EngineLoad(engine, this.model));
    }
    this.decideQueued();
  }

  /** Places or refuses a job, or queues it until it can be placed. */
  place(job: EngineJob): EngineDecision {
    const now = this.options.now();
    const arrivedAt = now - job.waitedMs;
    const decision =
      this.mustWaitForMultiEngineJob(job, arrivedAt, now) || this.mustWaitForLimits(job)
        ? QUEUED
        : this.decide(job, job.waitedMs, now + job.remainingMs, now);
    if (decision.kind !== 'queued') return decision;
    this.queue.push({ job, arrivedAt, deadlineAt: now + job.remainingMs });
    return decision;
  }

  /**
   * Adds a running job that another scheduler or the entry process placed.
   * @param ageMs - Milliseconds since then.
   */
  adopt(
    job: EngineJob,
    engine: string,
    helpers: EngineHelper[],
    isDecoding: boolean,
    ageMs = 0,
  ): void {
    const now = this.options.now();
    this.limiter.recordSend(engine, ageMs);
    const prefillMs = this.model.getPrefillMs(job.promptTokens) / (helpers.length + 1);
    const heldByHelpers = helpers.reduce((sum, { heldTokens }) => sum + heldTokens, 0);
    const heldTokens = job.promptTokens - heldByHelpers;
    this.loads.get(engine)?.add(job, { prefillMs, heldTokens }, now);
    const helperJob = { ...job, id: getHelperJobId(job.id) };
    helpers.forEach(({ engine: id, heldTokens: held }) =>
      this.loads.get(id)?.add(helperJob, { prefillMs, heldTokens: held, isHelper: true }, now),
    );
    if (isDecoding) this.markDecoding(job.id);
  }

  /** Marks a job as prefilled, after its first event. */
  markDecoding(id: string): void {
    this.trials.end(id);
    for (const [engine, load] of this.loads) {
      if (load.markDecoding(id)) this.health.recordResponse(engine);
      load.markDecoding(getHelperJobId(id));
    }
    this.decideQueued();
  }

  /**
   * Gets the ids of engines that serve short prompts, for entry processes that place without a
   * scheduler and keep long prompts off these engines.
   */
  getShortPromptEngines(): string[] {
    return [...this.loads.values()]
      .filter((load) => load.shortPromptCount > 0)
      .map(({ engine }) => engine.id);
  }

  /**
   * Removes a job that has ended or was cancelled.
   * @param faultyHelperId - The engine at fault, when it is not the one that serves the job.
   */
  release(id: string, ending: JobEnding = 'orderly', faultyHelperId?: string): void {
    const now = this.options.now();
    this.trials.end(id);
    if (faultyHelperId !== undefined) this.health.recordEnding(faultyHelperId, id, ending, now);
    this.queue = this.queue.filter(({ job }) => job.id !== id);
    for (const [engine, load] of this.loads) {
      const isOwn = load.remove(id);
      if (isOwn) this.health.recordEnding(engine, id, faultyHelperId ? 'orderly' : ending, now);
      load.remove(getHelperJobId(id));
    }
    this.decideQueued();
  }

  /**
   * Decides again on queued jobs. Call it periodically, as decisions also depend on elapsed time.
   */
  decideQueued(): void {
    const now = this.options.now();
    const waiting = this.queue.sort((a, b) => this.compare(a, b, now));
    this.queue = [];
    for (const queued of waiting) {
      const { job, arrivedAt, deadlineAt } = queued;
      const decision = this.mustWaitForMultiEngineJob(job, arrivedAt, now)
        ? QUEUED
        : this.decide(job, now - arrivedAt, deadlineAt, now);
      if (decision.kind === 'queued') this.queue.push(queued);
      else this.options.onDecided(job.id, decision);
    }
  }

  private decide(
    job: EngineJob,
    waitedMs: number,
    deadlineAt: number,
    now: number,
  ): EngineDecision {
    const prefillMs = this.model.getPrefillMs(job.promptTokens);
    const remainingMs = deadlineAt - now;
    const slackMs = job.objectiveMs * OBJECTIVE_SHARE - waitedMs;
    const { maxHeldTokens } = this;
    const verdict = this.poison.judge(job.parts);
    if (verdict.kind === 'quarantined') return getQuarantineRefusal(verdict.retryAfterMs);
    const suspectParts = verdict.kind === 'suspect' ? verdict.parts : [];
    if (this.trials.isRunning(suspectParts))
      return remainingMs < prefillMs + MIN_DECODE_MS
        ? this.refuse('the time left is too short')
        : QUEUED;
    const usable = this.getCandidates(job, maxHeldTokens, now);
    const candidates = suspectParts.length > 0 ? getLeastUsed(usable) : usable;
    const context = {
      job,
      candidates,
      engineCount: this.loads.size,
      prefillMs,
      slackMs,
      remainingMs,
      maxHeldTokens,
      now,
      getFailureRate: (load: EngineLoad) => this.health.getFailureRate(load.engine.id, now),
    };
    if (this.needsMultipleEngines(job)) {
      const choice = chooseMultipleEngines(context);
      if (choice) return this.assign(job, choice, prefillMs, suspectParts, now);
      return this.queueMultiEngineJob(job, prefillMs, remainingMs, maxHeldTokens);
    }
    const isLong = prefillMs > LONG_PREFILL_MS;
    const choice = isLong ? chooseForLongPrompt(context) : chooseForShortPrompt(context);
    // A busy engine is used only when the job cannot wait for an idle one.
    if (
      choice &&
      (choice.isAcceptable || !canWaitForIdleEngine(isLong, slackMs, prefillMs, remainingMs))
    )
      return this.assign(job, choice, prefillMs, suspectParts, now);
    // Lower bound of the time needed, with the most helpers; short prompts get none.
    if (remainingMs < prefillMs / (MAX_HELPERS + 1) + MIN_DECODE_MS)
      return this.refuse('the time left is too short');
    if (isLong && this.isOverloaded(prefillMs, remainingMs, now))
      return this.refuse('engines are busy');
    const limitWaitMs = this.getLimitWaitMs(job);
    const patienceMs = Math.min(
      remainingMs - MIN_DECODE_MS,
      job.objectiveMs * LIMIT_PATIENCE - waitedMs,
    );
    if (limitWaitMs > 0 && limitWaitMs + prefillMs > patienceMs)
      return this.refuse('the limits of the engines leave too little', limitWaitMs);
    return { kind: 'queued' };
  }

  /** Queues a prompt that needs several engines while it can still be served, else refuses it. */
  private queueMultiEngineJob(
    job: EngineJob,
    prefillMs: number,
    remainingMs: number,
    maxHeldTokens: number,
  ): EngineDecision {
    const engines = Math.min(MAX_ENGINES_PER_PROMPT, this.loads.size);
    if (engines * maxHeldTokens < job.promptTokens)
      return this.refuse('the prompt exceeds the memory of all engines');
    if (remainingMs < prefillMs / engines + MIN_DECODE_MS)
      return this.refuse('the time left is too short');
    return { kind: 'queued' };
  }

  /**
   * Returns true when a long prompt must wait for a queued multi-engine prompt of the same or a
   * higher priority whose objective ends earlier. That prompt holds others back only for a share of
   * its objective (`HOLD_BACK_SHARE`). Without this, multi-engine prompts would starve, as other
   * long prompts take each engine that becomes idle.
   */
  private mustWaitForMultiEngineJob(job: EngineJob, arrivedAt: number, now: number): boolean {
    if (this.model.getPrefillMs(job.promptTokens) <= LONG_PREFILL_MS) return false;
    return this.queue.some(
      (other) =>
        this.needsMultipleEngines(other.job) &&
        other.job.priority <= job.priority &&
        getFirstEventDueAt(other) < arrivedAt + job.objectiveMs &&
        now - other.arrivedAt < other.job.objectiveMs * HOLD_BACK_SHARE,
    );
  }

  /**
   * Orders the queue by priority, then jobs that can still meet their objective first, then by the
   * end of the objective. Late jobs go last, as serving one may make another miss its objective.
   */
  private compare(a: QueuedJob, b: QueuedJob, now: number): number {
    return (
      a.job.priority - b.job.priority ||
      Number(this.missesObjective(a, now)) - Number(this.missesObjective(b, now)) ||
      getFirstEventDueAt(a) - getFirstEventDueAt(b)
    );
  }

  /** Returns true when a queued prompt can no longer meet its objective. */
  private missesObjective({ job, arrivedAt }: QueuedJob, now: number): boolean {
    const prefillMs = this.model.getPrefillMs(job.promptTokens);
    return arrivedAt + job.objectiveMs < now + prefillMs / (MAX_HELPERS + 1);
  }

  /**
   * Returns true when one engine cannot hold the prompt or cannot prefill it within its objective.
   */
  private needsMultipleEngines({ promptTokens, objectiveMs }: EngineJob): boolean {
    const isTooSlow = this.model.getPrefillMs(promptTokens) > objectiveMs * OBJECTIVE_SHARE;
    return promptTokens > this.maxHeldTokens || isTooSlow;
  }

  /** Maximum number of tokens that prompts may hold on one engine. */
  private get maxHeldTokens(): number {
    return Math.floor(this.options.profile.kvCacheTokens * MEMORY_SHARE);
  }

  private getCandidates(job: EngineJob, maxHeldTokens: number, now: number): EngineLoad[] {
    const usable = [...this.loads.values()].filter(
      ({ engine }) => !job.excluded.includes(engine.id),
    );
    const healthy = usable.filter(({ engine }) => this.health.isUsable(engine.id, now));
    const heldTokens = Math.min(job.promptTokens, maxHeldTokens);
    const isPaced = this.getUrgentRate(job.priority) > 0;
    return (healthy.length > 0 ? healthy : usable).filter(
      (load) =>
        !load.isFull &&
        !this.trials.hasEngine(load.engine.id) &&
        this.limiter.getWaitMs(load.engine.id, isPaced) === 0 &&
        load.heldTokens + heldTokens <= maxHeldTokens,
    );
  }

  /**
   * Returns true when the prompts that run on engines without short prompts, and the queued ones,
   * leave too little time to serve this long one. A new prompt counts the whole queue, also prompts
   * that would be served after it. A queued one counts only those that stay in the queue ahead of
   * it, because `decideQueued` empties the queue and refills it in order.
   */
  private isOverloaded(prefillMs: number, remainingMs: number, now: number): boolean {
    const available = [...this.loads.values()].filter((load) => load.shortPromptCount === 0);
    const engines = Math.max(1, available.length);
    const running = available.reduce((sum, load) => sum + load.getBacklogMs(now), 0);
    const waiting = this.queue.reduce(
      (sum, { job }) => sum + this.model.getPrefillMs(job.promptTokens) + MIN_DECODE_MS,
      0,
    );
    return (running + waiting) / engines + prefillMs + MIN_DECODE_MS > remainingMs;
  }

  private assign(
    job: EngineJob,
    choice: EngineChoice,
    prefillMs: number,
    suspectParts: string[],
    now: number,
  ): EngineDecision {
    const { load, helpers, heldTokens } = choice;
    const partMs = prefillMs / (helpers.length + 1);
    const engines = [load, ...helpers.map((helper) => helper.load)];
    const expectedMs = Math.max(...engines.map((each) => each.getFirstEventMs(partMs, now)));
    load.add(job, { prefillMs: partMs, heldTokens }, now);
    this.health.recordJob(load.engine.id, job.id);
    this.limiter.recordSend(load.engine.id);
    if (this.totalLimit < Infinity) this.recentPlacements.push({ at: now, priority: job.priority });
    if (suspectParts.length > 0) this.trials.start(job.id, load.engine.id, suspectParts);
    const helperJob = { ...job, id: getHelperJobId(job.id) };
    helpers.forEach((helper) =>
      helper.load.add(
        helperJob,
        { prefillMs: partMs, heldTokens: helper.heldTokens, isHelper: true },
        now,
      ),
    );
    return {
      kind: 'placed',
      engine: load.engine.id,
      expectedMs: Math.round(expectedMs),
      helpers: helpers.map((helper) => ({
        engine: helper.load.engine.id,
        heldTokens: helper.heldTokens,
      })),
    };
  }

  /**
   * Returns true when a new job must wait for queued ones of the same or a higher priority, because
   * all engines have a limit. Otherwise it would take the turn of one that waits for it.
   */
  private mustWaitForLimits(job: EngineJob): boolean {
    const isAhead = this.queue.some((other) => other.job.priority <= job.priority);
    return isAhead && this.totalLimit < Infinity && this.getLimitWaitMs(job) < job.remainingMs;
  }

  /** Requests per second that all engines together accept; infinite if one has no limit. */
  private get totalLimit(): number {
    if (this.loads.size === 0) return Infinity;
    return [...this.loads.keys()].reduce(
      (sum, id) => sum + (this.limiter.getLimit(id) ?? Infinity),
      0,
    );
  }

  /**
   * Estimates the milliseconds until engines that all have a limit accept a job and the queued ones
   * before it; 0 if one has none. As in `isOverloaded`, a new job counts the whole queue.
   */
  private getLimitWaitMs(job: EngineJob): number {
    const { totalLimit: perSecond } = this;
    if (perSecond === Infinity) return 0;
    const ids = [...this.loads.keys()];
    const ahead = this.queue.filter((other) => other.job.priority <= job.priority).length;
    const nextMs = Math.min(...ids.map((id) => this.limiter.getWaitMs(id)));
    // More urgent jobs that arrive meanwhile go first.
    const ownShare = Math.max(
      perSecond - this.getUrgentRate(job.priority),
      perSecond * MIN_OWN_SHARE,
    );
    return nextMs + (ahead / ownShare) * MS_PER_SECOND;
  }

  /** Gets the rate per second at which more urgent jobs were placed lately. */
  private getUrgentRate(priority: number): number {
    const now = this.options.now();
    this.recentPlacements = this.recentPlacements.filter(({ at }) => at > now - RATE_WINDOW_MS);
    const urgent = this.recentPlacements.filter((placement) => placement.priority < priority);
    return (urgent.length * MS_PER_SECOND) / RATE_WINDOW_MS;
  }

  private refuse(reason: string, waitMs?: number): EngineDecision {
    const now = this.options.now();
    const waits = [...this.loads.values()].map((load) => load.getBacklogMs(now));
    const ownWaitMs = waitMs ?? Math.min(...waits);
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.min(ownWaitMs, MAX_RETRY_MS));
    return { kind: 'refused', retryAfterMs, reason };
  }
}

function getQuarantineRefusal(retryAfterMs: number): EngineDecision {
  const reason = 'a part of the prompt is quarantined';
  return { kind: 'refused', reason, retryAfterMs: Math.min(retryAfterMs, MAX_QUARANTINE_RETRY_MS) };
}

/** Gets the idle engines or, if there are none, those with the fewest jobs. */
function getLeastUsed(candidates: EngineLoad[]): EngineLoad[] {
  const fewest = Math.min(...candidates.map(({ size }) => size));
  return candidates.filter(({ size }) => size === fewest);
}

/** Gets the time by which the first event is due to meet the objective. */
function getFirstEventDueAt({ job, arrivedAt }: QueuedJob): number {
  return arrivedAt + job.objectiveMs;
}

/**
 * Returns true while a long prompt can wait for an idle engine: its objective, or at least the time
 * for which the client waits, can still be met.
 */
function canWaitForIdleEngine(
  isLong: boolean,
  slackMs: number,
  prefillMs: number,
  remainingMs: number,
): boolean {
  if (!isLong) return false;
  // Estimated prefill time with helpers. `chooseForLongPrompt` adds no more of them than it takes to
  // prefill within this share of the objective; here the share of the shorter slack is used.
  const fastestPrefillMs = Math.min(
    prefillMs,
    Math.max(prefillMs / (MAX_HELPERS + 1), slackMs * PREFILL_SHARE),
  );
  return slackMs - fastestPrefillMs > 0 || remainingMs > prefillMs + MIN_DECODE_MS;
}

/**
 * Gets the id of a job's helper parts. It differs from the job's id, so that the job's id is found
 * only on the engine that serves it.
 */
function getHelperJobId(id: string): string {
  return `${id}/help`;
}
