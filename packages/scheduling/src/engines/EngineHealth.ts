/** How a job ended at its engine. */
export type JobEnding =
  /** With its whole answer, or because nobody wants it any more. */
  | 'orderly'
  /** The engine answered with a failure of its own, or did not run it. */
  | 'failed'
  /** The connection broke or fell silent. */
  | 'broken';

interface Observation {
  /** Breaks since the last answer. */
  breaksInRow: number;
  /** Monotonic time in milliseconds until which the engine gets nothing. */
  avoidedUntil: number;
  /** The job that tries an avoided engine again. */
  probe: string | undefined;
  /** Moving share of failed jobs, 0 to 1, as of `judgedAt`. */
  failureShare: number;
  /** Monotonic time in milliseconds at which a job last ended. */
  judgedAt: number;
}

/** Avoidance in milliseconds after the first break; it doubles with each further one. */
const AVOID_MS = 750;
const AVOID_MAX_MS = 6000;
/** Milliseconds in which a share of failures counts half, for an engine without jobs proves nothing. */
const HALF_LIFE_MS = 3000;
/** Weight of one job in the moving share of failures. */
const FAILURE_WEIGHT = 0.2;

/**
 * Engines that break or fail. One that broke gets nothing for a while and then a single job; only
 * an answer to it brings the others back, so an engine that stays dark costs few requests.
 */
export class EngineHealth {
  private readonly records = new Map<string, Observation>();

  /** True when an engine may get a job. */
  isUsable(engine: string, now: number): boolean {
    const record = this.records.get(engine);
    if (!record || record.breaksInRow === 0) return true;
    return record.avoidedUntil <= now && record.probe === undefined;
  }

  /** Gets the moving share of failed jobs, 0 to 1; it fades with time. */
  getFailureShare(engine: string, now: number): number {
    const record = this.records.get(engine);
    return record ? record.failureShare * 0.5 ** ((now - record.judgedAt) / HALF_LIFE_MS) : 0;
  }

  /** A job goes to an engine; on one that broke, it is the probe. */
  addJob(engine: string, id: string): void {
    const record = this.records.get(engine);
    if (record && record.breaksInRow > 0) record.probe = id;
  }

  /** The engine has answered. */
  addAnswer(engine: string): void {
    const record = this.records.get(engine);
    if (!record) return;
    record.breaksInRow = 0;
    record.avoidedUntil = 0;
    record.probe = undefined;
  }

  addEnding(engine: string, id: string, ending: JobEnding, now: number): void {
    if (ending === 'orderly' && !this.records.has(engine)) return;
    const record = this.getOrCreate(engine);
    if (record.probe === id) record.probe = undefined;
    const share = this.getFailureShare(engine, now);
    record.failureShare = share + FAILURE_WEIGHT * (Number(ending !== 'orderly') - share);
    record.judgedAt = now;
    // Requests in flight break together; only a break after the pause makes it longer.
    if (ending !== 'broken' || record.avoidedUntil > now) return;
    const pause = Math.min(AVOID_MAX_MS, AVOID_MS * 2 ** record.breaksInRow);
    record.breaksInRow += 1;
    record.avoidedUntil = now + pause;
  }

  /** Forgets engines that are known no more. */
  retain(isKnown: (engine: string) => boolean): void {
    for (const engine of this.records.keys()) if (!isKnown(engine)) this.records.delete(engine);
  }

  private getOrCreate(engine: string): Observation {
    const known = this.records.get(engine);
    if (known) return known;
    const created = {
      breaksInRow: 0,
      avoidedUntil: 0,
      probe: undefined,
      failureShare: 0,
      judgedAt: 0,
    };
    this.records.set(engine, created);
    return created;
  }
}
