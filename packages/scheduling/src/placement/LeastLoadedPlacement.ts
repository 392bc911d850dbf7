import type { Engine } from '../ledger/index.js';
import { getMemoryTokens } from '../workload/index.js';
import type { PlacementResult, PlacementPolicy, PlacementRequest } from './PlacementPolicy.js';
import { findGang } from './findGang.js';

/** Baseline policy: the engine with the fewest running requests among those with enough memory. */
export class LeastLoadedPlacement implements PlacementPolicy {
  findPlace({ work, ledger }: PlacementRequest): PlacementResult | undefined {
    const tokens = getMemoryTokens(work);
    const engines = ledger.getServingEngines(work.model);
    const fitting = engines.filter((engine) => hasRoom(engine, tokens));
    const [best] = fitting.sort((a, b) => a.running - b.running);
    const shares = best ? [{ engine: best, tokens }] : findGang(engines, tokens);
    if (!shares) return undefined;
    return { shares, cachedTokens: 0, enginePriority: 0 };
  }
}

function hasRoom(engine: Engine, tokens: number): boolean {
  return engine.freeTokens >= tokens && engine.running < engine.capacity.maxBatch;
}
