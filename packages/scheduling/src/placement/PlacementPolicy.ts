import type { Engine, Ledger } from '../ledger/index.js';
import type { WorkItem } from '../workload/index.js';

/** Memory on one engine that is assigned to a work item. */
export interface MemoryShare {
  engine: Engine;
  tokens: number;
}

/** The engines assigned to a work item. The first share is that of the engine that serves it. */
export interface PlacementResult {
  shares: MemoryShare[];
  /** Prompt tokens that are assumed to be in the prefix cache of the first engine. */
  cachedTokens: number;
  /** Priority on the engine; lower numbers run first. */
  enginePriority: number;
  /**
   * Predicted time in milliseconds to the first token on an engine that is like its peers; undefined
   * if the policy makes no prediction.
   */
  expectedMs?: number;
}

/** Input of a placement decision. */
export interface PlacementContext {
  work: WorkItem;
  ledger: Ledger;
  now: number;
  /** True when the work item goes first because its priority is below its minimum share. */
  isBelowMinimumShare: boolean;
}

/** Chooses engines for work items. */
export interface PlacementPolicy {
  /** Returns the chosen engines, or undefined when the work item does not fit now. */
  findPlace(request: PlacementContext): PlacementResult | undefined;
  /** Forgets a work item that has left the queue without a place. */
  forget(id: string): void;
}
