import type { Engine } from '../ledger/index.js';
import { getCost } from '../workload/index.js';
import type { Work } from '../workload/index.js';

/** Time after which urgent demand counts half. */
const HALF_LIFE_MS = 5000;
/** Capacity kept clear relative to the urgent demand. */
const SURPLUS = 1.5;
/** Largest share of the engines kept clear. */
const LARGEST_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * The engines kept clear of batch prompts, as many as recent urgent demand needs.
 * @remarks An urgent prompt beside any other prompt waits for steps filled by both, even when the
 * engine runs it first.
 */
export class ClearEngines {
  private demand = 0;

  private updatedAt = 0;

  /** Counts an urgent work that was placed. */
  addUrgent(work: Work, now: number): void {
    this.decay(now);
    this.demand += getCost(work);
  }

  /** Tells whether an engine is kept clear. */
  has(engine: Engine, engines: Engine[], now: number): boolean {
    const count = this.getCount(engines, now);
    if (count === 0) return false;
    const ids = engines.map(({ id }) => id).sort();
    return ids.indexOf(engine.id) < count;
  }

  private getCount(engines: Engine[], now: number): number {
    this.decay(now);
    const capacity = engines.reduce(
      (sum, { capacity: each }) => sum + each.prefillTokensPerSecond,
      0,
    );
    const perSecond = (this.demand * Math.LN2 * MILLISECONDS_PER_SECOND) / HALF_LIFE_MS;
    if (perSecond < 1 || capacity === 0) return 0;
    const wanted = Math.ceil((perSecond / capacity) * SURPLUS * engines.length);
    return Math.min(wanted, Math.floor(engines.length * LARGEST_SHARE));
  }

  private decay(now: number): void {
    this.demand *= 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
  }
}
