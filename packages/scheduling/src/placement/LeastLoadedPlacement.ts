import type { Engine } from '../ledger/index.js';
import { getMemoryTokens } from '../workload/index.js';
import type { PlacementResult, PlacementPolicy, PlacementContext } from './PlacementPolicy.js';
import { findGangShares } from './findGangShares.js';

/** Baseline policy: the engine with the fewest running requests among those with enough memory. */
export class LeastLoadedPlacement implements PlacementPolicy {
  findPlace({ work, ledger }: PlacementContext): PlacementResult | undefined {
    const tokens = getMemoryTokens(work);
    const engines = ledger.getUsableEngines(work);
    const fitting = engines.filter((engine) => hasRoom(engine, tokens));
    const [best] = fitting.sort((a, b) => a.runningCount - b.runningCount);
    const shares = best ? [{ engine: best, tokens }] : findGangShares(engines, tokens);
    if (!shares) return undefined;
    return { shares, cachedTokens: 0, enginePriority: 0 };
  }

  forget(): void {}
}

function hasRoom(engine: Engine, tokens: number): boolean {
  return engine.freeTokens >= tokens && engine.runningCount < engine.capacity.maxBatch;
}
