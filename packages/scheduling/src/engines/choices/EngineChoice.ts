import type { EngineJob } from '../EngineJob.js';
import type { EngineLoad } from '../EngineLoad.js';

/** An engine that prefills a part of a prompt for another engine. */
export interface HelperChoice {
  load: EngineLoad;
  /** Tokens that the engine holds until the answer ends; 0 for none. */
  heldTokens: number;
}

/** The engines proposed for a prompt. */
export interface EngineChoice {
  /** Load of the engine that serves the prompt. */
  load: EngineLoad;
  helpers: HelperChoice[];
  /** Tokens of the prompt that the first engine holds. */
  heldTokens: number;
  /** False when the prompt should rather wait, as an objective or a pause limit would be missed. */
  isAcceptable: boolean;
}

/** A prompt to place, its remaining time and the engines available. */
export interface ChoiceContext {
  job: EngineJob;
  /** Engines that can accept the prompt. */
  candidates: EngineLoad[];
  /** Engines that can prefill a part of the prompt without holding it, or can accept it. */
  helperCandidates: EngineLoad[];
  /** Number of all engines, including busy ones. */
  engineCount: number;
  /** Prefill time in milliseconds on one engine. */
  prefillMs: number;
  /** Milliseconds left for the first event, measured against `OBJECTIVE_SHARE` of the objective. */
  slackMs: number;
  /** Milliseconds for which the client still waits. */
  remainingMs: number;
  /** Maximum number of tokens held on one engine. */
  maxHeldTokens: number;
  /** Monotonic time in milliseconds. */
  now: number;
  /** How much short prompts are to be packed, so that engines stay idle for long ones; 0 to 1. */
  packing: number;
  /** Gets the recent failure rate of an engine, 0 to 1. */
  getFailureRate: (load: EngineLoad) => number;
  /**
   * Returns true for an engine that has named a limit. It accepts few short prompts, so a long one
   * that occupies it displaces fewer of them than on another engine.
   */
  hasLimit: (load: EngineLoad) => boolean;
  /** Gets the used part of what a cold engine bears, 0 to 1; 0 for one that is not cold. */
  getColdUse: (load: EngineLoad) => number;
}

/** Share of the objective that a predicted time to the first event may use. */
export const OBJECTIVE_SHARE = 0.85;
/**
 * Share of the objective, or of the slack that is left of it, in which the prefill should end;
 * helpers are added to achieve it.
 */
export const PREFILL_SHARE = 0.5;
/** Minimum time in milliseconds that an answer is expected to take to decode. */
export const MIN_DECODE_MS = 800;

/** Failure rate at and above which an engine does not take part in a shared prefill. */
export const MAX_HELPER_FAILURE_RATE = 0.3;

/** Gets the item of the lowest cost; the first one of equal items. */
export function minBy<T>(items: T[], cost: (item: T) => number): T | undefined {
  let best: T | undefined;
  let least = Infinity;
  for (const item of items) {
    const value = cost(item);
    if (value < least) {
      least = value;
      best = item;
    }
  }
  return best;
}

/** Slowdown that is assumed of an engine which may be slow. */
const RESTRICTED_ENGINE_SLOWDOWN = 0.2;

/** Sorts engines so that slower ones come later; equal ones keep their order. */
export function sortBySlowdown(loads: EngineLoad[]): EngineLoad[] {
  return [...loads].sort((a, b) => getSlowness(a) - getSlowness(b));
}

function getSlowness({ slowdown, isRestricted }: EngineLoad): number {
  return slowdown + Number(isRestricted) * RESTRICTED_ENGINE_SLOWDOWN;
}
