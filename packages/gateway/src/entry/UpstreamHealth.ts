/** What one entry process has seen of one upstream. */
interface Observation {
  inFlight: number;
  /** Monotonic time in milliseconds until which the upstream is avoided. */
  avoidUntil: number;
  failuresInRow: number;
  /** Moving share of failed answers, 0 to 1. */
  failureShare: number;
}

/** Avoidance in milliseconds after the first failure; it doubles with each further one. */
const AVOID_MS = 500;
const AVOID_MAX_MS = 4000;
/** Weight of one answer in the moving share of failures. */
const FAILURE_WEIGHT = 0.15;

/** Loads and failures of upstreams as one entry process has seen them. */
export class UpstreamHealth {
  private readonly observations = new Map<string, Observation>();

  getInFlight(id: string): number {
    return this.observations.get(id)?.inFlight ?? 0;
  }

  getFailureShare(id: string): number {
    return this.observations.get(id)?.failureShare ?? 0;
  }

  isAvoided(id: string): boolean {
    return (this.observations.get(id)?.avoidUntil ?? 0) > performance.now();
  }

  start(id: string): void {
    this.getOrCreate(id).inFlight += 1;
  }

  finish(id: string): void {
    const observation = this.getOrCreate(id);
    observation.inFlight = Math.max(0, observation.inFlight - 1);
  }

  /** Counts a proper answer. */
  addSuccess(id: string): void {
    const observation = this.getOrCreate(id);
    observation.failuresInRow = 0;
    observation.avoidUntil = 0;
    observation.failureShare *= 1 - FAILURE_WEIGHT;
  }

  /** Counts an answer that was a failure of the upstream while its connection works. */
  addBadAnswer(id: string): void {
    const observation = this.getOrCreate(id);
    observation.failureShare += FAILURE_WEIGHT * (1 - observation.failureShare);
  }

  /** Counts a broken or silent connection and avoids the upstream for a while. */
  addBreak(id: string): void {
    const observation = this.getOrCreate(id);
    this.addBadAnswer(id);
    const pause = Math.min(AVOID_MAX_MS, AVOID_MS * 2 ** observation.failuresInRow);
    observation.failuresInRow += 1;
    observation.avoidUntil = performance.now() + pause;
  }

  /** Forgets upstreams that are known no more. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, observation] of this.observations) {
      if (observation.inFlight === 0 && !isKnown(id)) this.observations.delete(id);
    }
  }

  private getOrCreate(id: string): Observation {
    const known = this.observations.get(id);
    if (known) return known;
    const created = { inFlight: 0, avoidUntil: 0, failuresInRow: 0, failureShare: 0 };
    this.observations.set(id, created);
    return created;
  }
}
