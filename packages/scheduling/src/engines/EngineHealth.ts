/** How a job ended at its engine. */
export type JobEnding =
  /** The answer is complete, or the job ended for a reason outside the engine. */
  | 'orderly'
  /** The engine reported a failure or did not run the job. */
  | 'failed'
  /** The engine was unreachable, or it is unknown whether it ran the job. */
  | 'broken';

interface HealthRecord {
  /** Number of `broken` endings since the last first event, except during avoidance periods. */
  brokenEndingCount: number;
  /** Monotonic time in milliseconds until which healthy engines are preferred. */
  avoidedUntil: number;
  /** Id of the job that probes the engine after a `broken` ending. */
  probe: string | undefined;
  /** Moving average of failed jobs, 0 to 1, as of `updatedAt`. */
  failureRate: number;
  /** Monotonic time in milliseconds at which the last job ended. */
  updatedAt: number;
}

/** Avoidance in milliseconds after the first `broken` ending; each further one doubles it. */
const MIN_AVOIDANCE_MS = 750;
const MAX_AVOIDANCE_MS = 6000;
/**
 * Half-life of the failure rate in milliseconds. The rate decays because an engine that gets no
 * jobs cannot improve it.
 */
const HALF_LIFE_MS = 3000;
/** Weight of one job in the moving average of failures. */
const FAILURE_WEIGHT = 0.2;

/**
 * Circuit breaker and failure rate per engine. After a `broken` ending an engine is avoided for a
 * while, then gets one probe at a time until one of its jobs reports a first event, so that an
 * unreachable engine fails few requests. A probe that ends without an event is followed by another
 * one. The scheduler falls back to avoided engines when no other engine is left.
 */
export class EngineHealth {
  private readonly records = new Map<string, HealthRecord>();

  /** True when an engine may get a job. */
  isUsable(engine: string, now: number): boolean {
    const record = this.records.get(engine);
    if (!record || record.brokenEndingCount === 0) return true;
    return record.avoidedUntil <= now && record.probe === undefined;
  }

  /** Gets the moving average of failed jobs, 0 to 1, which decays over time. */
  getFailureRate(engine: string, now: number): number {
    const record = this.records.get(engine);
    return record ? record.failureRate * 0.5 ** ((now - record.updatedAt) / HALF_LIFE_MS) : 0;
  }

  /** Records a job sent to an engine; it becomes the probe after a `broken` ending. */
  recordJob(engine: string, id: string): void {
    const record = this.records.get(engine);
    if (record && record.brokenEndingCount > 0) record.probe = id;
  }

  /** Records the first event of a job, which ends the avoidance of the engine. */
  recordResponse(engine: string): void {
    const record = this.records.get(engine);
    if (!record) return;
    record.brokenEndingCount = 0;
    record.avoidedUntil = 0;
    record.probe = undefined;
  }

  /** Records the end of a job; an orderly one lowers the failure rate but ends no avoidance. */
  recordEnding(engine: string, id: string, ending: JobEnding, now: number): void {
    if (ending === 'orderly' && !this.records.has(engine)) return;
    const record = this.getOrCreate(engine);
    if (record.probe === id) record.probe = undefined;
    const rate = this.getFailureRate(engine, now);
    record.failureRate = rate + FAILURE_WEIGHT * (Number(ending !== 'orderly') - rate);
    record.updatedAt = now;
    // Requests in flight fail together; only a failure after the avoidance period counts and starts
    // a new, longer one.
    if (ending !== 'broken' || record.avoidedUntil > now) return;
    const avoidanceMs = Math.min(
      MAX_AVOIDANCE_MS,
      MIN_AVOIDANCE_MS * 2 ** record.brokenEndingCount,
    );
    record.brokenEndingCount += 1;
    record.avoidedUntil = now + avoidanceMs;
  }

  /** Discards the records of engines that are no longer known. */
  retain(isKnown: (engine: string) => boolean): void {
    for (const engine of this.records.keys()) if (!isKnown(engine)) this.records.delete(engine);
  }

  private getOrCreate(engine: string): HealthRecord {
    const known = this.records.get(engine);
    if (known) return known;
    const created = {
      brokenEndingCount: 0,
      avoidedUntil: 0,
      probe: undefined,
      failureRate: 0,
      updatedAt: 0,
    };
    this.records.set(engine, created);
    return created;
  }
}
