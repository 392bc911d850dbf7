import { BOUNDS } from './Bounds.js';

/** Name under which disturbances of control processes are recorded. */
export const CORE = 'core';
/** Name under which pauses of the soak's own process are recorded, which distort what it measures. */
export const HARNESS = 'harness';

interface Disturbance {
  target: string;
  kind: string;
  startedAt: number;
  endedAt: number;
}

/** Records what the faults did to which process and when, in monotonic milliseconds. */
export class Disturbances {
  private readonly disturbances: Disturbance[] = [];

  /** Records a disturbance from now on; the result ends it. */
  begin(target: string, kind: string): () => void {
    const disturbance = { target, kind, startedAt: performance.now(), endedAt: Infinity };
    this.disturbances.push(disturbance);
    return () => {
      disturbance.endedAt = performance.now();
    };
  }

  /** Records a pause of the soak's own process that has just ended. */
  recordHarnessPause(ms: number): void {
    const endedAt = performance.now();
    const kind = ms > BOUNDS.slowedMs ? 'slow' : 'pause';
    this.disturbances.push({ target: HARNESS, kind, startedAt: endedAt - ms, endedAt });
  }

  /** Gets a measured time without the pauses of the soak's own process, in milliseconds. */
  getMsWithoutPauses(from: number, to: number): number {
    return this.disturbances
      .filter(({ target }) => target === HARNESS)
      .reduce(
        (ms, { startedAt, endedAt }) =>
          ms - Math.max(0, Math.min(endedAt, to) - Math.max(startedAt, from)),
        to - from,
      );
  }

  /**
   * Tells whether the targets were in touch: without a disturbance of a kind that isn't exempt, from
   * the contact time before a period to its end. A long pause of the soak's own process shows that
   * the whole computer is overloaded, so that all processes count as slowed down.
   */
  areInTouch(targets: string[], from: number, to: number, exemptKinds: string[] = []): boolean {
    return !this.disturbances.some(
      ({ target, kind, startedAt, endedAt }) =>
        (targets.includes(target) || kind === 'slow') &&
        !exemptKinds.includes(kind) &&
        startedAt <= to &&
        endedAt >= from - BOUNDS.contactMs,
    );
  }

  /** Lists the disturbances in a period, for the report of a violation. */
  describe(from: number, to: number): string {
    return this.disturbances
      .filter(({ startedAt, endedAt }) => startedAt <= to && endedAt >= from)
      .map(({ target, kind, startedAt }) => `${kind} ${target} ${Math.round(startedAt - from)}`)
      .join(', ');
  }
}
