import { getLossCost } from '../EngineLoad.js';
import { minBy, OBJECTIVE_SHARE, PREFILL_SHARE } from './EngineChoice.js';
import type { ChoiceContext, EngineChoice } from './EngineChoice.js';
import type { EngineLoad } from '../EngineLoad.js';
import { choosePrefillEngines } from './choosePrefillEngines.js';

/** Maximum number of engines that help to prefill a prompt that does not need several engines. */
export const MAX_HELPERS = 6;

/**
 * Chooses engines on which a long prompt breaks no pause limit and no objective. Others help with
 * the prefill when it would take more than its share of the objective on one engine. Without such
 * engines, the one of the lowest cost is chosen.
 */
export function chooseForLongPrompt(context: ChoiceContext): EngineChoice | undefined {
  const { job, candidates, prefillMs, slackMs, now, getFailureRate } = context;
  const least = Math.ceil(prefillMs / (job.objectiveMs * PREFILL_SHARE));
  const choice = choosePrefillEngines(context, {
    least: Math.min(MAX_HELPERS + 1, least),
    most: MAX_HELPERS + 1,
    holders: 1,
    limitMs: slackMs,
  });
  if (choice) return choice;
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
  return { load: best, helpers: [], heldTokens: job.promptTokens, isAcceptable: best.size === 0 };
}
