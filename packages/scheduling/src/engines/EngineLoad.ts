import type { EngineJob } from './EngineJob.js';
import type { PassModel } from './PassModel.js';

/** An engine that takes jobs. */
export interface EngineEntry {
  id: string;
  dataCentre: string;
  /** Jobs in one batch. */
  capacity: number;
}

/** Part of a running pass that a newcomer waits for. */
const REST_SHARE = 0.75;

interface RunningJob {
  job: EngineJob;
  readMs: number;
  /** Monotonic time in milliseconds at which the reading is expected to end. */
  readEndAt: number;
  isWriting: boolean;
  /** True when a pause is expected to exceed the limit already. */
  isHarmed: boolean;
  /** True for a part that is read for another engine's job. */
  isHelp: boolean;
}

/** What one engine works on, as far as the scheduler was told. */
export class EngineLoad {
  private readonly jobs = new Map<string, RunningJob>();

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
    return this.list().filter((running) => running.isWriting).length;
  }

  /** Gets the number of jobs whose reading is short. */
  getLightCount(heavyReadMs: number): number {
    return this.list().filter(({ readMs, isHelp }) => !isHelp && readMs <= heavyReadMs).length;
  }

  /** Gets the tokens that the jobs hold. */
  get tokens(): number {
    return this.list().reduce((sum, { job, isHelp }) => sum + (isHelp ? 0 : job.promptTokens), 0);
  }

  /**
   * Gets the milliseconds until everything that was given is read. Reading starts with a pass and
   * all prompts of a pass get their first event at its end, so a prompt that fits into one pass
   * counts whole until its first event is told.
   */
  getBacklogMs(now: number): number {
    const { pace } = this.model;
    const passMs = pace.strideSteps * pace.stepMs;
    return this.list()
      .filter((running) => !running.isWriting)
      .map(({ readMs, readEndAt }) =>
        readMs <= passMs ? readMs : Math.min(readMs, Math.max(0, readEndAt - now)),
      )
      .reduce((sum, left) => sum + left, 0);
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
    return this.list()
      .filter(({ isHarmed, isHelp }) => !isHarmed && !isHelp)
      .filter(({ job }) => pause > job.pauseMs)
      .reduce((sum, running) => sum + getWeight(running.readMs), 0);
  }

  add(job: EngineJob, readMs: number, now: number, isHelp = false): void {
    const pause = this.getBacklogMs(now) + readMs;
    for (const running of this.jobs.values()) {
      if (running.isWriting && pause > running.job.pauseMs) running.isHarmed = true;
    }
    const readEndAt = now + this.getBacklogMs(now) + readMs;
    const isWriting = false;
    this.jobs.set(job.id, { job, readMs, readEndAt, isWriting, isHarmed: false, isHelp });
  }

  /** The job's first event has come, so its prompt is read. */
  markWriting(id: string): void {
    const running = this.jobs.get(id);
    if (running) running.isWriting = true;
  }

  remove(id: string): boolean {
    return this.jobs.delete(id);
  }

  private list(): RunningJob[] {
    return [...this.jobs.values()];
  }
}

const MS_PER_SECOND = 1000;

/** Weighs a job by the engine time that is lost with it. */
export function getWeight(readMs: number): number {
  return 1 + readMs / MS_PER_SECOND;
}
