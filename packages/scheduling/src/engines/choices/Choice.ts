import type { EngineJob } from '../EngineJob.js';
import type { EngineLoad } from '../EngineLoad.js';

/** An engine that reads a part of a prompt for another one. */
export interface HelpingLoad {
  load: EngineLoad;
  /** Tokens that it keeps until the answer ends; 0 for none. */
  heldTokens: number;
}

/** Where a prompt could go. */
export interface Choice {
  load: EngineLoad;
  helpers: HelpingLoad[];
  /** Tokens of the prompt that the first engine keeps. */
  heldTokens: number;
  /** True when nobody is spoilt by it. */
  isClear: boolean;
}

/** A prompt to be placed, and what is left of its time. */
export interface Candidacy {
  job: EngineJob;
  /** Engines that may take it. */
  candidates: EngineLoad[];
  /** Number of all engines, the busy ones included. */
  engineCount: number;
  /** Milliseconds in which one engine reads the prompt. */
  readMs: number;
  /** Milliseconds left to the first event within the objective. */
  slackMs: number;
  /** Milliseconds for which the client still waits. */
  remainingMs: number;
  /** Tokens that one engine may hold. */
  roomTokens: number;
  /** Monotonic time in milliseconds. */
  now: number;
  /** Gets the share of jobs that an engine has failed lately, 0 to 1. */
  getRisk: (load: EngineLoad) => number;
}

/** Part of the objective that a prediction may use up. */
export const OBJECTIVE_SHARE = 0.85;
/** Part of the objective in which the reading of a prompt should end; others help beyond it. */
export const READ_SHARE = 0.5;
/** Milliseconds that writing an answer is expected to take at least. */
export const WRITE_MS = 800;

/** Share of failed jobs from which an engine does not read for others. */
export const HELP_RISK = 0.3;

/** Gets the item of the least cost. */
export function getLeast<T>(items: T[], cost: (item: T) => number): T | undefined {
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
