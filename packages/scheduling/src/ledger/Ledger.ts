import { getMemoryTokens } from '../workload/index.js';
import type { WorkItem } from '../workload/index.js';
import type { Engine } from './Engine.js';

export interface LedgerOptions {
  /** Monotonic time by which all live engines have been added; -Infinity by default. */
  completeAt?: number;
}

/** The engines of one shard and their reservations. The shard's owner is the only writer. */
export class Ledger {
  private readonly engines = new Map<string, Engine>();

  constructor(private readonly options: LedgerOptions = {}) {}

  addEngine(engine: Engine): void {
    this.engines.set(engine.id, engine);
  }

  /** Removes an engine together with its reservations. */
  removeEngine(id: string): void {
    this.engines.delete(id);
  }

  getEngine(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  getEngines(): Engine[] {
    return [...this.engines.values()];
  }

  /** Gets the engines that have the model loaded and accept new work. */
  getServingEngines(model: string): Engine[] {
    return this.getEngines().filter((engine) => engine.isReady && engine.models.has(model));
  }

  /** Gets the serving engines that a work item may use. */
  getUsableEngines({ model, avoidedEngines }: WorkItem): Engine[] {
    return this.getServingEngines(model).filter(({ id }) => !avoidedEngines.includes(id));
  }

  /**
   * Returns true when a work item can be placed once enough memory is free and the engines that are
   * expected are ready.
   */
  canServe(work: WorkItem, now: number): boolean {
    if (now < (this.options.completeAt ?? -Infinity)) return true;
    let missing = getMemoryTokens(work);
    for (const engine of this.engines.values()) {
      const mayServe = engine.mayServe(work.model, now) && !work.avoidedEngines.includes(engine.id);
      if (mayServe) missing -= engine.capacity.kvTokens;
      if (mayServe && missing <= 0) return true;
    }
    return false;
  }

  /** Gets the engines that hold a reservation of a request. */
  getHoldingEngines(request: string): Engine[] {
    return this.getEngines().filter((engine) => engine.getReservation(request));
  }

  /** Releases all reservations of a request and returns the engines that held one. */
  removeRequest(request: string): Engine[] {
    return this.getEngines().filter((engine) => engine.removeReservation(request));
  }

  /** Checks that the reserved total of each engine equals the sum of its reservations. */
  isConsistent(): boolean {
    return this.getEngines().every((engine) => {
      const tokens = engine.getReservations().reduce((sum, { tokens: held }) => sum + held, 0);
      return tokens === engine.reservedTokens;
    });
  }
}
