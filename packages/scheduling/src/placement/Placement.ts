import type { Engine, Ledger } from '../ledger/index.js';
import type { Work } from '../workload/index.js';

/** Memory of one engine that a placed work gets. */
export interface PlacedShare {
  engine: Engine;
  tokens: number;
}

/** Where a work runs: the first share is that of the engine that processes the prompt. */
export interface Place {
  shares: PlacedShare[];
  /** Prompt tokens that the first engine is believed to hold already. */
  cachedTokens: number;
  /** Lower numbers run first on the engine. */
  enginePriority: number;
}

/** What a placement decides on. */
export interface PlacementRequest {
  work: Work;
  ledger: Ledger;
  now: number;
  isShareDue: boolean;
}

/** Chooses engines for a work; undefined when none has room now. */
export interface Placement {
  findPlace(request: PlacementRequest): Place | undefined;
}
