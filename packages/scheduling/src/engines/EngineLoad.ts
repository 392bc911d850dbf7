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

/** Share of a pause limit that a predicted pass may use, as more prompts may join it. */
const PAUSE_SHARE = 0.8;

/** Factor of the time for which a long prefill counts, as jobs that join it delay it. */
const PREFILL_MARGIN = 1.1;

interface RunningJob extends Required<EngineDemand> {
  job: EngineJob;
  /** Monotonic time in milliseconds at which the prefill is expected to end. */
  prefillEndAt: number;
  isDecoding: boolean;
  /** Monotonic time in milliseconds at which the first event is expected. */
  firstEventAt: number;
  /** Monotonic time in milliseconds by which the first event is due; infinite if it is late. */
  dueAt: number;
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
  /** Number of jobs and helper parts with a long prefill. */
  longPrompts: number;
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

  /** True when a long prompt, or a part of one, is on the engine. */
  get hasLongPrompt(): boolean {
    return this.getTotals().longPrompts > 0;
  }

  /**
   * Gets the milliseconds until all pending prompts are prefilled. Prompts that arrive during a
   * pass are prefilled together in the next one and get their first event at its end. Therefore, a
   * short prefill counts in full until the first event is reported; a long one counts with its
   * remaining time.
   */
  getBacklogMs(now: number): number {
    let sum = 0;
    for (const { prefillMs, prefillEndAt } of this.getTotals().prefilling)
      sum +=
        prefillMs <= LONG_PREFILL_MS
          ? prefillMs
          : Math.min(prefillMs, Math.max(0, prefillEndAt - now));
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
   * costs of the jobs that would exceed their pause limit or miss their objective with it, and were
   * not expected to before. Helper parts have no pauses.
   */
  getDisruptionCost(prefillMs: number, now: number): number {
    const expectedPauseMs = this.getPauseMs(prefillMs, now);
    let sum = 0;
    for (const running of this.jobs.values())
      if (isDisrupted(running, prefillMs, expectedPauseMs)) sum += getLossCost(running.prefillMs);
    return sum;
  }

  /** Gets the duration in milliseconds of a pass with another prefill and all pending ones. */
  private getPauseMs(prefillMs: number, now: number): number {
    const { prefilling } = this.getTotals();
    const decodingCount = this.decodingCount + prefilling.length + 1;
    const passMs = this.model.getPassMs(decodingCount, this.heldTokens);
    return (passMs + this.getBacklogMs(now) + prefillMs) * this.slowdown;
  }

  /** @param dueAt - Time by which the first event is due; infinite if it does not matter. */
  add(job: EngineJob, demand: EngineDemand, now: number, dueAt = Infinity): void {
    const expectedPauseMs = this.getPauseMs(demand.prefillMs, now);
    const firstEventAt = now + this.getFirstEventMs(demand.prefillMs, now);
    // Beside other jobs the prefill begins with the next pass, and that pass includes their steps.
    const endAt = this.size === 0 ? now + demand.prefillMs : firstEventAt;
    const prefillEndAt = now + (endAt - now) * PREFILL_MARGIN;
    for (const running of this.jobs.values()) {
      if (running.isDecoding && expectedPauseMs > running.job.pauseMs)
        running.missesPauseLimit = true;
      if (!running.isDecoding) running.firstEventAt += demand.prefillMs;
    }
    this.jobs.set(job.id, {
      isHelper: false,
      ...demand,
      job,
      prefillEndAt,
      isDecoding: false,
      firstEventAt,
      dueAt: firstEventAt > dueAt ? Infinity : dueAt,
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

/** Returns true when another prefill costs a job, which is fine without it, its objective. */
function isDisrupted(running: RunningJob, prefillMs: number, expectedPauseMs: number): boolean {
  if (!running.isDecoding) {
    const { firstEventAt, dueAt } = running;
    return firstEventAt <= dueAt && firstEventAt + prefillMs > dueAt;
  }
  return (
    !running.isHelper &&
    !running.missesPauseLimit &&
    expectedPauseMs > running.job.pauseMs * PAUSE_SHARE
  );
}

function computeTotals(jobs: RunningJob[]): Totals {
  return {
    decodingCount: jobs.filter(({ isDecoding }) => isDecoding).length,
    heldTokens: jobs.reduce((sum, { heldTokens }) => sum + heldTokens, 0),
    shortPrompts: jobs.filter(
      ({ isHelper, prefillMs }) => !isHelper && prefillMs <= LONG_PREFILL_MS,
    ).length,
    longPrompts: jobs.filter(({ isHelper, prefillMs }) => isHelper || prefillMs > LONG_PREFILL_MS)
      .length,
    prefilling: jobs.filter(({ isDecoding }) => !isDecoding),
  };
}
