import { getLossCost } from '../EngineLoad.js';
import type { EngineLoad } from '../EngineLoad.js';
import {
  minBy,
  sortBySlowdown,
  MAX_HELPER_FAILURE_RATE,
  OBJECTIVE_SHARE,
  PREFILL_SHARE,
} from './EngineChoice.js';
import type { ChoiceContext, EngineChoice, HelperChoice } from './EngineChoice.js';

/** Cost of an engine in another data centre, as a fraction of a failed or late request. */
const LONG_PROMPT_DISTANCE_COST = 0.1;
/** Cost of an engine without a limit while others have one, in the same terms. */
const UNLIMITED_ENGINE_COST = 0.5;
/** Cost of an engine that may be slow, in the same terms. */
const RESTRICTED_ENGINE_COST = 0.2;
/** Maximum number of engines that help to prefill a prompt that does not need several engines. */
export const MAX_HELPERS = 6;

/**
 * Chooses an idle engine for a long prompt. Idle engines of the same data centre help with the
 * prefill when it would take more than its share of the objective on one engine. Without an idle
 * engine, the busy engine of the lowest cost is chosen.
 */
export function chooseForLongPrompt({
  job,
  candidates,
  prefillMs,
  now,
  getFailureRate,
  hasLimit,
}: ChoiceContext): EngineChoice | undefined {
  const heldTokens = job.promptTokens;
  const isReliable = (load: EngineLoad): boolean => getFailureRate(load) < MAX_HELPER_FAILURE_RATE;
  const idle = candidates.filter((load) => load.size === 0);
  const limitedFirst = [...idle].sort((a, b) => Number(hasLimit(b)) - Number(hasLimit(a)));
  const someHaveLimits = limitedFirst[0] !== undefined && hasLimit(limitedFirst[0]);
  const bestIdle = minBy(
    limitedFirst,
    (load) =>
      Number(load.engine.dataCentre !== job.dataCentre) * LONG_PROMPT_DISTANCE_COST +
      Number(someHaveLimits && !hasLimit(load)) * UNLIMITED_ENGINE_COST +
      Number(load.isRestricted) * RESTRICTED_ENGINE_COST +
      (load.slowdown - 1) +
      getFailureRate(load),
  );
  if (bestIdle) {
    const parts = Math.ceil(prefillMs / (job.objectiveMs * PREFILL_SHARE));
    return {
      load: bestIdle,
      helpers: getHelpers(bestIdle, sortBySlowdown(limitedFirst.filter(isReliable)), parts),
      heldTokens,
      isAcceptable: true,
    };
  }
  const cost = (load: EngineLoad): number => {
    const firstMs = load.getFirstEventMs(prefillMs, now);
    const isLate = firstMs > job.objectiveMs * OBJECTIVE_SHARE;
    const own = isLate ? getLossCost(prefillMs) : firstMs / job.objectiveMs;
    return (
      load.getDisruptionCost(prefillMs, now) + getFailureRate(load) * getLossCost(prefillMs) + own
    );
  };
  const best = minBy(candidates, cost);
  if (!best) return undefined;
  const isAcceptable =
    best.getDisruptionCost(prefillMs, now) === 0 &&
    best.shortPromptCount === 0 &&
    best.getFirstEventMs(prefillMs, now) < job.objectiveMs * OBJECTIVE_SHARE;
  return { load: best, helpers: [], heldTokens, isAcceptable };
}

function getHelpers(first: EngineLoad, idle: EngineLoad[], parts: number): HelperChoice[] {
  return idle
    .filter((load) => load !== first && load.engine.dataCentre === first.engine.dataCentre)
    .slice(0, Math.min(MAX_HELPERS, parts - 1))
    .map((load) => ({ load, heldTokens: 0 }));
}
