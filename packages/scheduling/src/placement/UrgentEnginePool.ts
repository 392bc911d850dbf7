import type { Engine } from '../ledger/index.js';
import { getCost } from '../workload/index.js';
import type { WorkItem } from '../workload/index.js';

/** Half-life of the recorded urgent demand, in milliseconds. */
const HALF_LIFE_MS = 5000;
/** Capacity of the pool relative to the urgent demand. */
const CAPACITY_FACTOR = 1.5;
/** Maximum share of the engines in the pool. */
const MAX_ENGINE_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Engines on which no batch work is placed, unless it is below its minimum share. The size of the
 * pool follows recent urgent demand.
 * @remarks An urgent prompt that shares an engine with other prompts is delayed by steps that
 * contain tokens of both, even when the engine gives it priority.
 */
export class UrgentEnginePool {
  private demand = 0;

  private updatedAt = 0;

  /** Records an urgent work item that was placed. */
  recordPlaced(work: WorkItem, now: number): void {
    this.decay(now);
    this.demand += getCost(work);
  }

  /** Returns true when an engine is in the pool; engines are chosen in order of their ids. */
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
    // In prompt-token equivalents (the unit of `getCost`) per second. At a constant rate, a sum with
    // exponential decay tends to rate * half-life / ln 2.
    const costPerSecond = (this.demand * Math.LN2 * MILLISECONDS_PER_SECOND) / HALF_LIFE_MS;
    if (costPerSecond < 1 || capacity === 0) return 0;
    const wanted = Math.ceil((costPerSecond / capacity) * CAPACITY_FACTOR * engines.length);
    return Math.min(wanted, Math.floor(engines.length * MAX_ENGINE_SHARE));
  }

  private decay(now: number): void {
    this.demand *= 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
  }
}
