import { getWeight } from '../EngineLoad.js';
import type { EngineLoad } from '../EngineLoad.js';
import { getLeast, HELP_RISK, OBJECTIVE_SHARE, READ_SHARE } from './Choice.js';
import type { Candidacy, Choice, HelpingLoad } from './Choice.js';

/** Cost of an engine in another data centre, in parts of a spoilt request. */
const DISTANCE_COST = 0.1;
/** Engines that may read for another one. */
export const MAX_HELPERS = 6;

/**
 * Puts a prompt whose reading is long on a clear engine; clear neighbours help to read it when the
 * reading alone would use up its objective.
 */
export function chooseForHeavy({
  job,
  candidates,
  readMs,
  now,
  getRisk,
}: Candidacy): Choice | undefined {
  const heldTokens = job.promptTokens;
  const isReliable = (load: EngineLoad): boolean => getRisk(load) < HELP_RISK;
  const clear = candidates.filter((load) => load.size === 0);
  const near = getLeast(
    clear,
    (load) => Number(load.engine.dataCentre !== job.dataCentre) * DISTANCE_COST + getRisk(load),
  );
  if (near) {
    const parts = Math.ceil(readMs / (job.objectiveMs * READ_SHARE));
    return {
      load: near,
      helpers: getHelpers(near, clear.filter(isReliable), parts),
      heldTokens,
      isClear: true,
    };
  }
  const cost = (load: EngineLoad): number => {
    const firstMs = load.getFirstEventMs(readMs, now);
    const isLate = firstMs > job.objectiveMs * OBJECTIVE_SHARE;
    const own = isLate ? getWeight(readMs) : firstMs / job.objectiveMs;
    return load.getHarm(readMs, now) + getRisk(load) * getWeight(readMs) + own;
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
