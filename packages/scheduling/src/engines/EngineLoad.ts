import type { EngineJob } from './EngineJob.js';
import type { PassModel } from './PassModel.js';

/** An engine that takes jobs. */
export interface EngineEntry {
  id: string;
  dataCentre: string;
  /** Jobs in one batch. */
  capacity: number;
}

/** What a job takes of one engine. */
export interface EngineShare {
  /** Milliseconds of reading. */
  readMs: number;
  /** Tokens kept in memory until the job ends. */
  heldTokens: number;
  /** True for a part that is read for another engine's job. */
  isHelp?: boolean;
}

/** Reading in milliseconds from which a prompt is kept away from streams with short pauses. */
export const HEAVY_READ_MS = 180;

/** Part of a running pass that a newcomer waits for. */
const REST_SHARE = 0.75;

interface RunningJob extends Required<EngineShare> {
  job: EngineJob;
  /** Monotonic time in milliseconds at which the reading is expected to end. */
  readEndAt: number;
  isWriting: boolean;
  /** True when a pause is expected to exceed the limit already. */
  isHarmed: boolean;
}

/** Sums over the jobs of an engine. */
interface Totals {
  writers: number;
  heldTokens: number;
  /** Jobs whose reading is short. */
  light: number;
  unread: RunningJob[];
}

/** What one engine works on, as far as the scheduler was told. */
export class EngineLoad {
  private readonly jobs = new Map<string, RunningJob>();

  private totals: Totals | undefined;

  constructor(
    readonly engine: EngineEntry,
    private readonly model: PassModel,
  ) {}

  get size(): number {
    return this.jobs.size;
  }

  get isFull(): boolean {
    return this.jobs.size >= this.engine.capacity;
  }

  get writers(): number {
    return this.getTotals().writers;
  }

  /** Number of jobs whose reading is short. */
  get lightCount(): number {
    return this.getTotals().light;
  }

  /** Tokens that the jobs hold in memory. */
  get tokens(): number {
    return this.getTotals().heldTokens;
  }

  /**
   * Gets the milliseconds until everything that was given is read. Reading starts with a pass and
   * all prompts of a pass get their first event at its end, so a prompt that fits into one pass
   * counts whole until its first event is told.
   */
  getBacklogMs(now: number): number {
    const { pace } = this.model;
    const passMs = pace.strideSteps * pace.stepMs;
    let sum = 0;
    for (const { readMs, readEndAt } of this.getTotals().unread)
      sum += readMs <= passMs ? readMs : Math.min(readMs, Math.max(0, readEndAt - now));
    return sum;
  }

  /**
   * Gets the milliseconds to the first event of a job that comes now: the rest of the pass that
   * runs, the reading ahead of it, its own reading, and the pass of its first event.
   */
  getFirstEventMs(readMs: number, now: number): number {
    const own = this.model.getPassMs(this.writers + 1, this.tokens);
    const rest = this.size === 0 ? 0 : own * REST_SHARE;
    return rest + this.getBacklogMs(now) + readMs + own;
  }

  /** Gets the weight of the jobs whose objective or pauses a further reading would spoil. */
  getHarm(readMs: number, now: number): number {
    const pass = this.model.getPassMs(this.writers + 1, this.tokens);
    const pause = pass + this.getBacklogMs(now) + readMs;
    let sum = 0;
    for (const { isHarmed, isHelp, job, readMs: lostMs } of this.jobs.values())
      if (!isHarmed && !isHelp && pause > job.pauseMs) sum += getWeight(lostMs);
    return sum;
  }

  add(job: EngineJob, share: EngineShare, now: number): void {
    const pause = this.getBacklogMs(now) + share.readMs;
    for (const running of this.jobs.values()) {
      if (running.isWriting && pause > running.job.pauseMs) running.isHarmed = true;
    }
    this.jobs.set(job.id, {
      isHelp: false,
      ...share,
      job,
      readEndAt: now + pause,
      isWriting: false,
      isHarmed: false,
    });
    this.totals = undefined;
  }

  /** The job's first event has come, so its prompt is read; help that holds nothing ends. */
  markWriting(id: string): boolean {
    const running = this.jobs.get(id);
    if (!running) return false;
    running.isWriting = true;
    if (running.isHelp && running.heldTokens === 0) this.jobs.delete(id);
    this.totals = undefined;
    return true;
  }

  remove(id: string): boolean {
    this.totals = undefined;
    return this.jobs.delete(id);
  }

  private getTotals(): Totals {
    this.totals ??= sumUp([...this.jobs.values()]);
    return this.totals;
  }
}

const MS_PER_SECOND = 1000;

/** Weighs a job by the engine time that is lost with it. */
export function getWeight(readMs: number): number {
  return 1 + readMs / MS_PER_SECOND;
}

function sumUp(jobs: RunningJob[]): Totals {
  return {
    writers: jobs.filter(({ isWriting }) => isWriting).length,
    heldTokens: jobs.reduce((sum, { heldTokens }) => sum + heldTokens, 0),
    light: jobs.filter(({ isHelp, readMs }) => !isHelp && readMs <= HEAVY_READ_MS).length,
    unread: jobs.filter(({ isWriting }) => !isWriting),
  };
}
