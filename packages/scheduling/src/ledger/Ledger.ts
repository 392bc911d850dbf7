import type { Engine } from './Engine.js';

/** The engines of one shard. There is one writer: the shard's owner. */
export class Ledger {
  private readonly engines = new Map<string, Engine>();

  addEngine(engine: Engine): void {
    this.engines.set(engine.id, engine);
  }

  /** Removes an engine and all memory reserved on it. */
  removeEngine(id: string): void {
    this.engines.delete(id);
  }

  getEngine(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  getEngines(): Engine[] {
    return [...this.engines.values()];
  }

  /** Gets the engines that serve a model and take new work. */
  getServing(model: string): Engine[] {
    return this.getEngines().filter((engine) => engine.isReady && engine.models.has(model));
  }

  /** Gets the engines on which a request holds memory. */
  getHolding(request: string): Engine[] {
    return this.getEngines().filter((engine) => engine.getReservation(request));
  }

  /** Gives back all memory that a request holds; gets the engines that held some. */
  removeRequest(request: string): Engine[] {
    return this.getEngines().filter((engine) => engine.removeReservation(request));
  }

  /** Checks that the totals agree with the reservations and fit the engines. */
  isConsistent(): boolean {
    return this.getEngines().every((engine) => {
      const tokens = engine.getReservations().reduce((sum, { tokens: held }) => sum + held, 0);
      return tokens === engine.reservedTokens;
    });
  }
}
