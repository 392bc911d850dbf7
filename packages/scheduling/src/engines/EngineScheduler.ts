import { FirstEventObserver, NEUTRAL_CAPACITY } from '../capacity/index.js';
import type { CapacityEstimator } from '../capacity/index.js';
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
import { EngineLoad, LONG_PREFILL_MS, REMAINING_PASS_SHARE } from './EngineLoad.js';
import type { EngineDescriptor } from './EngineLoad.js';
import { LatencyModel } from './LatencyModel.js';
import type { PerformanceProfile } from './LatencyModel.js';
import { LongPromptDemand } from './LongPromptDemand.js';
import { PartTrials } from './PartTrials.js';
import { OnTimeOrder } from './OnTimeOrder.js';
import type { WaitingJob } from './OnTimeOrder.js';
import { SpareCapacity } from './SpareCapacity.js';

export interface EngineSchedulerOptions {
  profile: PerformanceProfile;
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  /** Called when a queued job is placed or refused. */
  onDecided: (id: string, decision: EngineDecision) => void;
  /** Called when a job has ended because its engine broke off or was unreachable. */
  onBroken?: (engine: string) => void;
  /** Evidence about prompt parts that end engines; without it, none is known. */
  poison?: PoisonTable;
  /** Limits that engines have named; without it, they have none. */
  limiter?: RateLimiter;
  /** Learns how fast engines are; without it, all are as fast as predicted. */
  capacity?: CapacityEstimator;
}

/**
 * Share of an engine's memory that prompts may use. The rest is left for output tokens, which are
 * not counted in `heldTokens`.
 */
const MEMORY_SHARE = 0.95;
/** Bounds of the retry delay of a refusal, in milliseconds. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 1200;
/** Share of a retry delay by which it is lengthened at most, so that not all return at once. */
const RETRY_SPREAD = 0.5;
/** Step of an additive sequence whose values spread evenly over 0 to 1. */
const GOLDEN_RATIO = 0.618;
/** Share of the time left after which a client does not come back any more. */
const MAX_RETRY_SHARE = 1 / 3;
/** Retry delay in milliseconds of prompts that find no turn, as bursts outlast shorter ones. */
const OVERLOAD_RETRY_MS = 3000;
/** Retry delay in milliseconds of prompts that engines cannot serve on time in the time left. */
const LATE_RETRY_MS = 1500;
/** Milliseconds in which the short prompts on an engine usually end. */
const DRAIN_MS = 1500;
/** Maximum number of engines that short prompts leave to long ones. */
const MAX_HELD_ENGINES = 4;
/** Idle engines, beside those that long prompts usually need, up to which short ones are packed. */
const MIN_IDLE_ENGINES = MAX_ENGINES_PER_PROMPT;
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
/** Time in milliseconds for which a new engine, which may be cold, is not compared with others. */
const WARM_UP_MS = 3000;
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

  /** Engines that accept no jobs any more, with the jobs that still run there. */
  private readonly withdrawn = new Map<string, EngineLoad>();

  private readonly health = new EngineHealth();

  private readonly trials = new PartTrials();

  private readonly poison: PoisonTable;

  private readonly limiter: RateLimiter;

  private readonly observer: FirstEventObserver | undefined;

  /** Monotonic time in milliseconds from which an engine is compared with others. */
  private readonly comparableFrom = new Map<string, number>();

  private readonly order: OnTimeOrder;

  private readonly spareCapacity: SpareCapacity;

  private readonly longPromptDemand: LongPromptDemand;

  private queue: WaitingJob[] = [];

  /** Engines that short prompts leave to a long one, which could not be on time otherwise. */
  private heldEngines = new Set<string>();

  /** Jobs placed within `RATE_WINDOW_MS` while all engines had a limit. */
  private recentPlacements: { at: number; priority: number }[] = [];

  private returnPhase = 0;

  private model: LatencyModel;

  constructor(private readonly options: EngineSchedulerOptions) {
    this.model = new LatencyModel(options.profile);
    this.order = new OnTimeOrder({ getLeastMs: (job) => this.getLeastFirstEventMs(job) });
    this.spareCapacity = new SpareCapacity(options);
    this.longPromptDemand = new LongPromptDemand(options);
    this.limiter =
      options.limiter ?? new RateLimiter({ now: options.now, getLimit: () => undefined });
    this.poison = options.poison ?? new PoisonTable({ now: options.now });
    const { capacity: estimator, now } = options;
    this.observer = estimator && new FirstEventObserver({ estimator, now });
  }

  get queueLength(): number {
    return this.queue.length;
  }

  /**
   * Sets the engines that accept jobs. The health records of others are discarded, so an engine that
   * returns starts without avoidance, and with those of its jobs that still run.
   */
  setEngines(engines: EngineDescriptor[]): void {
    const wanted = new Set(engines.map((engine) => engine.id));
    const gone = [...this.loads].filter(([id]) => !wanted.has(id));
    const added = engines.filter(({ id }) => !this.loads.has(id));
    if (gone.length === 0 && added.length === 0) return;
    for (const [id, load] of gone) {
      this.loads.delete(id);
      this.comparableFrom.delete(id);
      if (load.size > 0) this.withdrawn.set(id, load);
    }
    this.health.retain((id) => wanted.has(id));
    this.options.capacity?.retain((id) => wanted.has(id));
    for (const engine of added) {
      const load = this.withdrawn.get(engine.id) ?? new EngineLoad(engine, this.model);
      this.loads.set(engine.id, load);
      this.withdrawn.delete(engine.id);
      this.comparableFrom.set(engine.id, this.options.now() + WARM_UP_MS);
    }
    this.decideQueued();
  }

  /** Places or refuses a job, or queues it until it can be placed. */
  place(job: EngineJob): EngineDecision {
    const now = this.options.now();
    this.applyCapacity();
    const { remainingMs, patienceMs = Infinity } = job;
    const waiting: WaitingJob = {
      job,
      arrivedAt: now - job.waitedMs,
      deadlineAt: now + Math.min(remainingMs, patienceMs + MIN_DECODE_MS),
    };
    if (this.isLong(job)) this.longPromptDemand.recordArrival(this.getEngineMs(job));
    else this.spareCapacity.recordArrival(job.priority);
    const decision =
      this.mustWaitForMultiEngineJob(waiting, now) || this.mustWaitForLimits(job)
        ? QUEUED
        : this.decide(waiting, now);
    if (decision.kind === 'queued') this.queue.push(waiting);
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
    const load = this.loads.get(engine);
    if (load && helpers.length === 0 && !isDecoding && ageMs === 0)
      this.observePlacement(job, load, load.getFirstEventMs(prefillMs, now));
    load?.add(job, { prefillMs, heldTokens }, now);
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
      if (load.markDecoding(id)) {
        this.health.recordResponse(engine);
        this.observer?.recordFirstEvent(id, load.size / load.engine.capacity);
      }
      load.markDecoding(getHelperJobId(id));
    }
    for (const load of this.withdrawn.values()) {
      load.markDecoding(id);
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
    this.observer?.forget(id);
    if (faultyHelperId !== undefined) this.health.recordEnding(faultyHelperId, id, ending, now);
    this.queue = this.queue.filter(({ job }) => job.id !== id);
    for (const [engine, load] of this.loads) {
      const isOwn = load.remove(id);
      if (isOwn) this.health.recordEnding(engine, id, faultyHelperId ? 'orderly' : ending, now);
      if (isOwn && !faultyHelperId && ending === 'broken') this.options.onBroken?.(engine);
      load.remove(getHelperJobId(id));
    }
    for (const [engine, load] of this.withdrawn) {
      load.remove(id);
      load.remove(getHelperJobId(id));
      if (load.size === 0) this.withdrawn.delete(engine);
    }
    this.decideQueued();
  }

  /**
   * Decides again on queued jobs. Call it periodically, as decisions also depend on elapsed time.
   */
  decideQueued(): void {
    const now = this.options.now();
    this.applyCapacity();
    const ordered = this.order.sort(this.queue, now);
    this.heldEngines = this.findHeldEngines(ordered, now);
    this.queue = [];
    for (const waiting of ordered) {
      const decision = this.mustWaitForMultiEngineJob(waiting, now)
        ? QUEUED
        : this.decide(waiting, now);
      if (decision.kind === 'queued') this.queue.push(waiting);
      else this.options.onDecided(waiting.job.id, decision);
    }
  }

  /** Refuses all queued jobs, as no engine is left to wait for. */
  refuseQueued(refusal: Extract<EngineDecision, { kind: 'refused' }>): void {
    const refused = this.queue;
    this.queue = [];
    refused.forEach(({ job }) => this.options.onDecided(job.id, refusal));
  }

  private decide(waiting: WaitingJob, now: number): EngineDecision {
    const { job, arrivedAt, deadlineAt } = waiting;
    const waitedMs = now - arrivedAt;
    const prefillMs = this.model.getPrefillMs(job.promptTokens);
    const remainingMs = deadlineAt - now;
    const slackMs = job.objectiveMs * OBJECTIVE_SHARE - waitedMs;
    const { maxHeldTokens } = this;
    const verdict = this.poison.judge(job.parts);
    if (verdict.kind === 'quarantined') return getQuarantineRefusal(verdict.retryAfterMs);
    const suspectParts = verdict.kind === 'suspect' ? verdict.parts : [];
    if (this.trials.isRunning(suspectParts))
      return remainingMs < prefillMs + MIN_DECODE_MS
        ? this.refuse(job, 'the time left is too short')
        : QUEUED;
    const isLong = prefillMs > LONG_PREFILL_MS;
    const heldTokens = Math.min(job.promptTokens, maxHeldTokens);
    const usable = this.getCandidates(job, heldTokens, maxHeldTokens, now);
    const candidates = suspectParts.length > 0 ? getLeastUsed(usable) : usable;
    const needsHelpers = isLong && suspectParts.length === 0;
    const helperCandidates = needsHelpers
      ? this.getCandidates(job, 0, maxHeldTokens, now)
      : candidates;
    const context = {
      job,
      candidates,
      helperCandidates,
      engineCount: this.loads.size,
      prefillMs,
      slackMs,
      remainingMs,
      maxHeldTokens,
      now,
      packing: candidates.length > 0 ? this.getPacking() : 1,
      getFailureRate: (load: EngineLoad) => this.health.getFailureRate(load.engine.id, now),
      hasLimit: this.hasLimit,
      getColdUse: ({ engine }: EngineLoad) => this.limiter.getColdUse(engine.id),
    };
    if (this.needsMultipleEngines(job)) {
      const choice = chooseMultipleEngines(context);
      if (choice) return this.assign(job, choice, prefillMs, suspectParts, now, now + slackMs);
      return this.queueMultiEngineJob(waiting, prefillMs, remainingMs, maxHeldTokens);
    }
    const choice = isLong ? chooseForLongPrompt(context) : chooseForShortPrompt(context);
    // An engine that makes the job late is used only when the job cannot wait for a better one.
    const canWait = isLong
      ? canWaitForIdleEngine(slackMs, prefillMs, remainingMs)
      : this.order.canBeOnTime(waiting, now);
    if (choice && (choice.isAcceptable || !canWait))
      return this.assign(job, choice, prefillMs, suspectParts, now, now + slackMs);
    // Lower bound of the time needed, with the most helpers; short prompts get none.
    if (remainingMs < prefillMs / (MAX_HELPERS + 1) + MIN_DECODE_MS)
      return this.refuse(job, 'the time left is too short');
    if (isLong && this.isOverloaded(prefillMs, remainingMs, now))
      return this.refuse(job, 'engines are busy');
    if (!isLong && this.hasNoTurn(waiting, now))
      return this.refuse(job, 'engines are busy', OVERLOAD_RETRY_MS);
    const limitWaitMs = this.getLimitWaitMs(job);
    const patienceMs = Math.min(
      remainingMs - MIN_DECODE_MS,
      job.objectiveMs * LIMIT_PATIENCE - waitedMs,
    );
    if (limitWaitMs > 0 && limitWaitMs + prefillMs > patienceMs)
      return this.refuse(
        job,
        'the limits of the engines leave too little',
        Math.min(limitWaitMs, MAX_RETRY_MS),
      );
    return { kind: 'queued' };
  }

  /** Queues a prompt that needs several engines while it can still be served, else refuses it. */
  private queueMultiEngineJob(
    waiting: WaitingJob,
    prefillMs: number,
    remainingMs: number,
    maxHeldTokens: number,
  ): EngineDecision {
    const { job, arrivedAt } = waiting;
    const now = this.options.now();
    const engines = Math.min(MAX_ENGINES_PER_PROMPT, this.loads.size);
    if (engines * maxHeldTokens < job.promptTokens)
      return this.refuse(job, 'the prompt exceeds the memory of all engines');
    if (remainingMs < prefillMs / engines + MIN_DECODE_MS)
      return this.refuse(job, 'the time left is too short');
    if (this.isTooLarge(job))
      return this.refuse(job, 'larger than what engines can serve now', OVERLOAD_RETRY_MS);
    const slackMs = arrivedAt + job.objectiveMs * OBJECTIVE_SHARE - now;
    if (isFirstAttempt(job) && prefillMs / engines > slackMs)
      return this.refuse(job, 'too few engines to be on time', LATE_RETRY_MS);
    return { kind: 'queued' };
  }

  /**
   * Returns true when a long prompt must wait for a queued multi-engine prompt of the same or a
   * higher priority whose objective ends earlier. That prompt holds others back only for a share of
   * its objective (`HOLD_BACK_SHARE`). Without this, multi-engine prompts would starve, as other
   * long prompts take each engine that becomes idle.
   */
  private mustWaitForMultiEngineJob({ job, arrivedAt }: WaitingJob, now: number): boolean {
    if (!this.isLong(job)) return false;
    return this.queue.some(
      (other) =>
        this.needsMultipleEngines(other.job) &&
        other.job.priority <= job.priority &&
        getFirstEventDueAt(other) < arrivedAt + job.objectiveMs &&
        now - other.arrivedAt < other.job.objectiveMs * HOLD_BACK_SHARE,
    );
  }

  /** Gets the time in milliseconds from the placement of a job to its first event, at least. */
  private getLeastFirstEventMs({ promptTokens }: EngineJob): number {
    const prefillMs = this.model.getPrefillMs(promptTokens);
    if (prefillMs > LONG_PREFILL_MS) return prefillMs / (MAX_HELPERS + 1);
    // On an engine in use, the rest of the running pass comes first.
    return prefillMs + this.model.getPassMs(1, promptTokens) * (1 + REMAINING_PASS_SHARE);
  }

  private isLong({ promptTokens }: EngineJob): boolean {
    return this.model.getPrefillMs(promptTokens) > LONG_PREFILL_MS;
  }

  /**
   * Returns true when a short prompt can no longer be on time, and those that can will leave it no
   * turn before its client leaves. The prompts that wait behind it are not counted. A stream that
   * has begun is not given up before that.
   */
  private hasNoTurn(waiting: WaitingJob, now: number): boolean {
    if (waiting.job.isResumption) return false;
    // The limits themselves tell more than what was placed lately.
    if (this.totalLimit < Infinity || this.order.canBeOnTime(waiting, now)) return false;
    const { priority } = waiting.job;
    const ahead = this.queue.filter(({ job }) => !this.isLong(job) && job.priority <= priority);
    const waitMs = this.spareCapacity.getWaitMs(ahead.length + 1, priority);
    return now + waitMs + this.getLeastFirstEventMs(waiting.job) > waiting.deadlineAt;
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

  /** Gets the milliseconds for which a long prompt occupies engines, in total. */
  private getEngineMs({ promptTokens }: EngineJob): number {
    return this.model.getPrefillMs(promptTokens) + DRAIN_MS;
  }

  /**
   * Returns true when more long prompts arrive than engines can serve, and a new one that needs
   * several of them is larger than those that can be served together.
   */
  private isTooLarge(job: EngineJob): boolean {
    if (!isFirstAttempt(job) || !this.needsMultipleEngines(job)) return false;
    const engines = this.getLongPromptEngines();
    return this.getEngineMs(job) > this.longPromptDemand.getLargestMs(engines);
  }

  /** Gets the number of engines that short prompts leave to long ones. */
  private getLongPromptEngines(): number {
    const loads = [...this.loads.values()];
    const slots = loads.reduce((sum, { engine }) => sum + engine.capacity, 0);
    const used = loads.reduce((sum, { shortPromptCount }) => sum + shortPromptCount, 0);
    return loads.length * (1 - used / Math.max(1, slots));
  }

  /**
   * Gets how much short prompts are to be packed, from 0 while enough engines are idle for the long
   * prompts that usually arrive, to 1 without idle engines.
   */
  private getPacking(): number {
    const loads = [...this.loads.values()];
    const idle = loads.filter(({ size }) => size === 0).length;
    const used = loads.filter(({ hasLongPrompt }) => hasLongPrompt).length;
    const missing = this.longPromptDemand.getEngineCount() - used + MIN_IDLE_ENGINES - idle;
    return Math.min(1, Math.max(0, missing / MIN_IDLE_ENGINES));
  }

  /**
   * Finds the engines to be drained for the first long prompt that waits and would be late if it did
   * so any longer: those with the fewest jobs, as many as it needs.
   */
  private findHeldEngines(ordered: WaitingJob[], now: number): Set<string> {
    const next = ordered.find((each) => this.isLong(each.job) && this.mustStartSoon(each, now));
    if (!next) return new Set();
    const { dataCentre } = next.job;
    const wanted = Math.min(MAX_HELD_ENGINES, this.getNeededEngines(next, now));
    const usable = this.getHealthy(next.job, now).filter(
      (load) => this.limiter.getWaitMs(load.engine.id) < DRAIN_MS,
    );
    const isFar = ({ engine }: EngineLoad): number => Number(engine.dataCentre !== dataCentre);
    const isFree = (load: EngineLoad): number => Number(!this.hasLimit(load));
    const ranked = usable.sort(
      (a, b) => isFree(a) - isFree(b) || a.size - b.size || isFar(a) - isFar(b),
    );
    return new Set(ranked.slice(0, wanted).map(({ engine }) => engine.id));
  }

  private readonly hasLimit = ({ engine }: EngineLoad): boolean =>
    this.limiter.getNamedLimit(engine.id) !== undefined;

  private mustStartSoon(waiting: WaitingJob, now: number): boolean {
    if (!this.order.canBeOnTime(waiting, now)) return false;
    const { job, arrivedAt } = waiting;
    const slackMs = arrivedAt + job.objectiveMs * OBJECTIVE_SHARE - now;
    const prefillMs = this.model.getPrefillMs(job.promptTokens);
    return slackMs - prefillMs / this.getNeededEngines(waiting, now) < DRAIN_MS;
  }

  /** Gets the number of engines with which a long prompt can be on time if they are idle soon. */
  private getNeededEngines({ job, arrivedAt }: WaitingJob, now: number): number {
    const slackMs = arrivedAt + job.objectiveMs * OBJECTIVE_SHARE - now;
    const prefillMs = this.model.getPrefillMs(job.promptTokens);
    return Math.max(1, Math.ceil(prefillMs / (Math.max(1, slackMs) * PREFILL_SHARE)));
  }

  private getHealthy(job: EngineJob, now: number): EngineLoad[] {
    const usable = [...this.loads.values()].filter(
      ({ engine }) => !job.excluded.includes(engine.id),
    );
    const healthy = usable.filter(({ engine }) => this.health.isUsable(engine.id, now));
    return healthy.length > 0 ? healthy : usable;
  }

  /**
   * Gets the engines that can accept a job now.
   * @remarks Called for each queued job at each change, so it ends early while all are full.
   */
  private getCandidates(
    job: EngineJob,
    heldTokens: number,
    maxHeldTokens: number,
    now: number,
  ): EngineLoad[] {
    const isShort = !this.isLong(job);
    const isPaced = this.getUrgentRate(job.priority) > 0;
    const accepting = [...this.loads.values()].filter(
      (load) =>
        !load.isFull &&
        !(isShort && this.heldEngines.has(load.engine.id)) &&
        !job.excluded.includes(load.engine.id) &&
        !this.trials.hasEngine(load.engine.id) &&
        this.limiter.getWaitMs(load.engine.id, isPaced) === 0 &&
        load.heldTokens + heldTokens <= maxHeldTokens,
    );
    if (accepting.length === 0) return accepting;
    const healthy = new Set(this.getHealthy(job, now));
    return accepting.filter((load) => healthy.has(load));
  }

  /**
   * Returns true when the prompts that run on engines without short prompts, and the queued ones,
   * leave too little time to serve this long one. A new prompt counts all queued long ones, also those
   * that would be served after it. A queued one counts only those that stay in the queue ahead of
   * it, because `decideQueued` empties the queue and refills it in order.
   */
  private isOverloaded(prefillMs: number, remainingMs: number, now: number): boolean {
    const available = [...this.loads.values()].filter((load) => load.shortPromptCount === 0);
    const engines = Math.max(1, available.length);
    const running = available.reduce((sum, load) => sum + load.getBacklogMs(now), 0);
    const waiting = this.queue
      .filter(({ job }) => this.isLong(job))
      .reduce((sum, { job }) => sum + this.model.getPrefillMs(job.promptTokens) + MIN_DECODE_MS, 0);
    return (running + waiting) / engines + prefillMs + MIN_DECODE_MS > remainingMs;
  }

  private assign(
    job: EngineJob,
    choice: EngineChoice,
    prefillMs: number,
    suspectParts: string[],
    now: number,
    dueAt: number,
  ): EngineDecision {
    const { load, helpers, heldTokens } = choice;
    const partMs = prefillMs / (helpers.length + 1);
    const engines = [load, ...helpers.map((helper) => helper.load)];
    const expectedMs = Math.max(...engines.map((each) => each.getFirstEventMs(partMs, now)));
    if (helpers.length === 0) this.observePlacement(job, load, expectedMs);
    load.add(job, { prefillMs: partMs, heldTokens }, now, dueAt);
    this.health.recordJob(load.engine.id, job.id);
    this.limiter.recordSend(load.engine.id);
    if (!this.isLong(job)) this.spareCapacity.recordPlacement();
    if (this.totalLimit < Infinity) this.recentPlacements.push({ at: now, priority: job.priority });
    if (suspectParts.length > 0) this.trials.start(job.id, load.engine.id, suspectParts);
    const helperJob = { ...job, id: getHelperJobId(job.id) };
    helpers.forEach((helper) =>
      helper.load.add(
        helperJob,
        { prefillMs: partMs, heldTokens: helper.heldTokens, isHelper: true },
        now,
        dueAt,
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

  /** Applies what is known of the speeds of engines to the predictions. */
  private applyCapacity(): void {
    const { capacity = NEUTRAL_CAPACITY } = this.options;
    for (const load of this.loads.values()) {
      load.slowdown = capacity.getSlowdown(load.engine.id);
      load.limit = capacity.getLimit(load.engine.id, load.engine.capacity);
    }
  }

  /**
   * Has the time to the first event of a job compared with the predicted one, unless the engine may
   * be cold or has a limit, which explain a delay.
   */
  private observePlacement(job: EngineJob, load: EngineLoad, expectedMs: number): void {
    const { id, capacity } = load.engine;
    const isCold = this.options.now() < (this.comparableFrom.get(id) ?? 0);
    if (isCold || this.limiter.getLimit(id) !== undefined) return;
    this.observer?.recordPlacement(job.id, {
      engine: id,
      kind: this.isLong(job) ? 'long' : 'short',
      expectedMs: expectedMs / load.slowdown,
      utilisation: (load.size + 1) / capacity,
    });
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
    let sum = 0;
    for (const id of this.loads.keys()) {
      const limit = this.limiter.getNamedLimit(id);
      if (limit === undefined) return Infinity;
      sum += limit;
    }
    return sum;
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
    if (this.recentPlacements.length === 0) return 0;
    const now = this.options.now();
    this.recentPlacements = this.recentPlacements.filter(({ at }) => at > now - RATE_WINDOW_MS);
    const urgent = this.recentPlacements.filter((placement) => placement.priority < priority);
    return (urgent.length * MS_PER_SECOND) / RATE_WINDOW_MS;
  }

  /**
   * Refuses a job. Clients that are refused together come back at different times, or they would
   * find as little room as before.
   */
  private refuse(
    job: EngineJob,
    reason: string,
    waitMs = this.getLeastBacklogMs(),
  ): EngineDecision {
    this.returnPhase = (this.returnPhase + GOLDEN_RATIO) % 1;
    const spreadMs = Math.max(MIN_RETRY_MS, waitMs) * (1 + this.returnPhase * RETRY_SPREAD);
    const mostMs = Math.max(MIN_RETRY_MS, job.remainingMs * MAX_RETRY_SHARE);
    return { kind: 'refused', retryAfterMs: Math.round(Math.min(spreadMs, mostMs)), reason };
  }

  private getLeastBacklogMs(): number {
    const now = this.options.now();
    const waits = [...this.loads.values()].map((load) => load.getBacklogMs(now));
    return Math.min(MAX_RETRY_MS, ...waits);
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

/** Returns true for a job that no engine has failed, whose client may come back after a refusal. */
function isFirstAttempt({ excluded, isResumption }: EngineJob): boolean {
  return excluded.length === 0 && !isResumption;
}

/** Gets the time by which the first event is due to meet the objective. */
function getFirstEventDueAt({ job, arrivedAt }: WaitingJob): number {
  return arrivedAt + job.objectiveMs;
}

/**
 * Returns true while a long prompt can wait for an idle engine: its objective, or at least the time
 * for which the client waits, can still be met.
 */
function canWaitForIdleEngine(slackMs: number, prefillMs: number, remainingMs: number): boolean {
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
