import { getWeight } from '../EngineLoad.js';
import type { EngineLoad } from '../EngineLoad.js';
import { getLeast, OBJECTIVE_SHARE, READ_SHARE } from './Choice.js';
import type { Candidacy, Choice, HelpingLoad } from './Choice.js';

/** Engines that may read for another one. */
export const MAX_HELPERS = 6;

/**
 * Puts a prompt whose reading is long on a clear engine; clear neighbours help to read it when the
 * reading alone would use up its objective.
 */
export function chooseForHeavy({ job, candidates, readMs, now }: Candidacy): Choice | undefined {
  const heldTokens = job.promptTokens;
  const clear = candidates.filter((load) => load.size === 0);
  const near = getLeast(clear, ({ engine }) => Number(engine.dataCentre !== job.dataCentre));
  if (near) {
    const parts = Math.ceil(readMs / (job.objectiveMs * READ_SHARE));
    return { load: near, helpers: getHelpers(near, clear, parts), heldTokens, isClear: true };
  }
  const cost = (load: EngineLoad): number => {
    const firstMs = load.getFirstEventMs(readMs, now);
    const isLate = firstMs > job.objectiveMs * OBJECTIVE_SHARE;
    return load.getHarm(readMs, now) + (isLate ? getWeight(readMs) : firstMs / job.objectiveMs);
  };
  const best = getLeast(candidates, cost);
  if (!best) return undefined;
  const isClear =
    best.getHarm(readMs, now) === 0 &&
    best.lightCount === 0 &&
    best.getFirstEventMs(readMs, now) < job.objectiveMs * OBJECTIVE_SHARE;
  return { load: best, helpers: [], heldTokens, isClear };
}

function getHelpers(first: EngineLoad, clear: EngineLoad[], parts: number): HelpingLoad[] {
  return clear
    .filter((load) => load !== first && load.engine.dataCentre === first.engine.dataCentre)
    .slice(0, Math.min(MAX_HELPERS, parts - 1))
    .map((load) => ({ load, heldTokens: 0 }));
}
