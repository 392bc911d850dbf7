/** Record of the load and the failures of a single upstream. */
interface Observation {
  inFlight: number;
  /** Monotonic time in milliseconds until which the upstream is avoided. */
  avoidedUntil: number;
  /** Connection failures since the last success, including those while the upstream is avoided. */
  consecutiveConnectionFailures: number;
  /** Exponential moving average of the share of failed responses, 0 to 1. */
  failureRate: number;
}

/** Avoidance in milliseconds after the first connection failure; doubles with each further one. */
const MIN_AVOIDANCE_MS = 500;
const MAX_AVOIDANCE_MS = 4000;
/** Weight of one response in the moving average of failures. */
const SMOOTHING_FACTOR = 0.15;

/** Load and failures of all upstreams as observed by this entry process. */
export class UpstreamHealth {
  private readonly observations = new Map<string, Observation>();

  getInFlight(id: string): number {
    return this.observations.get(id)?.inFlight ?? 0;
  }

  getFailureRate(id: string): number {
    return this.observations.get(id)?.failureRate ?? 0;
  }

  isAvoided(id: string): boolean {
    return (this.observations.get(id)?.avoidedUntil ?? 0) > performance.now();
  }

  recordStart(id: string): void {
    this.getOrCreate(id).inFlight += 1;
  }

  recordFinish(id: string): void {
    const observation = this.getOrCreate(id);
    observation.inFlight = Math.max(0, observation.inFlight - 1);
  }

  /** Records a successful response, which also ends the avoidance. */
  recordSuccess(id: string): void {
    const observation = this.getOrCreate(id);
    observation.consecutiveConnectionFailures = 0;
    observation.avoidedUntil = 0;
    observation.failureRate *= 1 - SMOOTHING_FACTOR;
  }

  /**
   * Raises the failure rate after an error response, an invalid one, or one that broke off. Such an
   * upstream is not avoided, because it accepted the connection and began to respond. Also called
   * by `recordConnectionFailure`, which avoids the upstream as well.
   */
  recordErrorResponse(id: string): void {
    const observation = this.getOrCreate(id);
    observation.failureRate += SMOOTHING_FACTOR * (1 - observation.failureRate);
  }

  /** Records a connection that broke or timed out, and avoids the upstream for a while. */
  recordConnectionFailure(id: string): void {
    const observation = this.getOrCreate(id);
    this.recordErrorResponse(id);
    const avoidanceMs = Math.min(
      MAX_AVOIDANCE_MS,
      MIN_AVOIDANCE_MS * 2 ** observation.consecutiveConnectionFailures,
    );
    observation.consecutiveConnectionFailures += 1;
    observation.avoidedUntil = performance.now() + avoidanceMs;
  }

  /** Removes upstreams that are no longer known and have no request in flight. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, observation] of this.observations) {
      if (observation.inFlight === 0 && !isKnown(id)) this.observations.delete(id);
    }
  }

  private getOrCreate(id: string): Observation {
    const known = this.observations.get(id);
    if (known) return known;
    const created = {
      inFlight: 0,
      avoidedUntil: 0,
      consecutiveConnectionFailures: 0,
      failureRate: 0,
    };
    this.observations.set(id, created);
    return created;
  }
}
