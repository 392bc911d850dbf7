import type { EngineJob } from './EngineJob.js';
import type { LatencyModel } from './LatencyModel.js';

/** An engine that accepts jobs. */
export interface EngineDescriptor {
  id: string;
  dataCentre: string;
  /** Maximum batch size, in jobs. */
  capacity: number;
}

/** Resources that a job needs on one engine. */
export interface EngineDemand {
  /** Prefill time in milliseconds. */
  prefillMs: number;
  /** Tokens held in memory until the job ends. */
  heldTokens: number;
  /** True for a part that is prefilled for another engine's job. */
  isHelper?: boolean;
}

/**
 * Prefill time in milliseconds above which a prompt counts as long and is kept away from streams
 * with short pause limits.
 */
export const LONG_PREFILL_MS = 180;

/** Share of the running pass that a new job is expected to wait for. */
export const REMAINING_PASS_SHARE = 0.75;

interface RunningJob extends Required<EngineDemand> {
  job: EngineJob;
  /** Monotonic time in milliseconds at which the prefill is expected to end. */
  prefillEndAt: number;
  isDecoding: boolean;
  /** True when a pause of the job is already expected to exceed `EngineJob.pauseMs`. */
  missesPauseLimit: boolean;
}

/** Totals over the jobs of an engine. */
interface Totals {
  /** Number of decoding jobs, including helper parts that hold memory. */
  decodingCount: number;
  heldTokens: number;
  /** Number of jobs with a short prefill. */
  shortPrompts: number;
  prefilling: RunningJob[];
}

/** The jobs on one engine that the scheduler knows of, and estimates based on them. */
export class EngineLoad {
  private readonly jobs = new Map<string, RunningJob>();

  private totals: Totals | undefined;

  /** Time that the engine takes, as a multiple of the predicted one. */
  slowdown = 1;

  /** Number of jobs that the engine takes without slowing down; undefined if not known. */
  limit: number | undefined;

  constructor(
    readonly engine: EngineDescriptor,
    private readonly model: LatencyModel,
  ) {}

  get size(): number {
    return this.jobs.size;
  }

  get isFull(): boolean {
    return this.jobs.size >= (this.limit ?? this.engine.capacity);
  }

  /** True while the engine is to be tried with few jobs. */
  get isRestricted(): boolean {
    return (this.limit ?? Infinity) < this.engine.capacity;
  }

  get decodingCount(): number {
    return this.getTotals().decodingCount;
  }

  /** Number of jobs with a short prefill, not counting helper parts. */
  get shortPromptCount(): number {
    return this.getTotals().shortPrompts;
  }

  /** Tokens that the jobs hold in memory. */
  get heldTokens(): number {
    return this.getTotals().heldTokens;
  }

  /**
   * Gets the milliseconds until all pending prompts are prefilled. Prompts that arrive during a
   * pass are prefilled together in the next one and get their first event at its end. Therefore, a
   * prompt whose prefill takes no longer than the decode steps of a pass is counted in full until
   * its first event is reported; a longer one is counted with its remaining time.
   */
  getBacklogMs(now: number): number {
    const { profile } = this.model;
    const passMs = profile.stepsPerPass * profile.stepMs;
    let sum = 0;
    for (const { prefillMs, prefillEndAt } of this.getTotals().prefilling)
      sum += prefillMs <= passMs ? prefillMs : Math.min(prefillMs, Math.max(0, prefillEndAt - now));
    return sum;
  }

  /**
   * Estimates the milliseconds to the first event of a job that arrives now: the rest of the
   * running pass, the prefill ahead of it, its own prefill, and the pass that produces its first
   * event.
   */
  getFirstEventMs(prefillMs: number, now: number): number {
    const passWithJobMs = this.model.getPassMs(this.decodingCount + 1, this.heldTokens);
    const remainingPassMs = this.size === 0 ? 0 : passWithJobMs * REMAINING_PASS_SHARE;
    return (remainingPassMs + this.getBacklogMs(now) + prefillMs + passWithJobMs) * this.slowdown;
  }

  /**
   * Gets the cost that another prefill would cause to the jobs of the engine: the sum of the loss
   * costs of the jobs that would exceed their pause limit with it and were not expected to before.
   * Helper parts are not counted.
   */
  getDisruptionCost(prefillMs: number, now: number): number {
    const passWithJobMs = this.model.getPassMs(this.decodingCount + 1, this.heldTokens);
    const expectedPauseMs = (passWithJobMs + this.getBacklogMs(now) + prefillMs) * this.slowdown;
    let sum = 0;
    for (const { missesPauseLimit, isHelper, job, prefillMs: otherPrefillMs } of this.jobs.values())
      if (!missesPauseLimit && !isHelper && expectedPauseMs > job.pauseMs)
        sum += getLossCost(otherPrefillMs);
    return sum;
  }

  add(job: EngineJob, demand: EngineDemand, now: number): void {
    const expectedPauseMs = this.getBacklogMs(now) + demand.prefillMs * this.slowdown;
    for (const running of this.jobs.values()) {
      if (running.isDecoding && expectedPauseMs > running.job.pauseMs)
        running.missesPauseLimit = true;
    }
    this.jobs.set(job.id, {
      isHelper: false,
      ...demand,
      job,
      prefillEndAt: now + expectedPauseMs,
      isDecoding: false,
      missesPauseLimit: false,
    });
    this.totals = undefined;
  }

  /**
   * Marks a job as prefilled, after its first event. A helper part that holds no tokens ends then.
   * Returns false when the job is unknown.
   */
  markDecoding(id: string): boolean {
    const running = this.jobs.get(id);
    if (!running) return false;
    running.isDecoding = true;
    if (running.isHelper && running.heldTokens === 0) this.jobs.delete(id);
    this.totals = undefined;
    return true;
  }

  remove(id: string): boolean {
    this.totals = undefined;
    return this.jobs.delete(id);
  }

  private getTotals(): Totals {
    this.totals ??= computeTotals([...this.jobs.values()]);
    return this.totals;
  }
}

const MS_PER_SECOND = 1000;

/** Gets the cost of a failed or late job: 1, plus 1 for each second of prefill that is lost. */
export function getLossCost(prefillMs: number): number {
  return 1 + prefillMs / MS_PER_SECOND;
}

function computeTotals(jobs: RunningJob[]): Totals {
  return {
    decodingCount: jobs.filter(({ isDecoding }) => isDecoding).length,
    heldTokens: jobs.reduce((sum, { heldTokens }) => sum + heldTokens, 0),
    shortPrompts: jobs.filter(
      ({ isHelper, prefillMs }) => !isHelper && prefillMs <= LONG_PREFILL_MS,
    ).length,
    prefilling: jobs.filter(({ isDecoding }) => !isDecoding),
  };
}
