import type { EngineLoad } from '../EngineLoad.js';
import { minBy, OBJECTIVE_SHARE } from './EngineChoice.js';
import type { ChoiceContext, EngineChoice } from './EngineChoice.js';

/** Number of short prompts to which an engine is filled before an idle one is used. */
const TARGET_SHORT_PROMPTS = 7;
/** Cost of an engine in another data centre, as a fraction of a failed or late request. */
const SHORT_PROMPT_DISTANCE_COST = 0.02;
/**
 * Cost of using an engine without short prompts, as a fraction of a failed or late request. It
 * falls to 0 as the engine fills up to the target. An idle engine costs this amount twice.
 */
const IDLE_ENGINE_COST = 0.12;
/**
 * Cost of the time to the first event per length of the objective, as a fraction of a failed or
 * late request. It applies if the first event is expected within the slack. A later one costs 1,
 * plus its time as a share of the objective.
 */
const DELAY_COST = 0.5;
/** Cost of each short prompt beyond the target, as a fraction of a failed or late request. */
const EXCESS_COST = 0.08;
/** Cost of a cold engine that bears no more requests, as a fraction of a failed or late request. */
const COLD_COST = 0.12;

/**
 * Chooses the engine of the lowest cost for a short prompt. Short prompts are packed so that others
 * stay idle, unless more engines are idle than long prompts need.
 */
export function chooseForShortPrompt({
  job,
  candidates,
  prefillMs,
  slackMs,
  now,
  packing,
  getFailureRate,
  getColdUse,
}: ChoiceContext): EngineChoice | undefined {
  const cost = (load: EngineLoad): number => {
    const firstMs = load.getFirstEventMs(prefillMs, now);
    const shortPrompts = load.shortPromptCount;
    const excess = Math.max(0, shortPrompts - TARGET_SHORT_PROMPTS) * EXCESS_COST;
    const packingCost = packing * getPackingCost(load);
    const delay = firstMs / job.objectiveMs;
    const distance = load.engine.dataCentre === job.dataCentre ? 0 : SHORT_PROMPT_DISTANCE_COST;
    const own = firstMs > slackMs ? 1 + delay : delay * DELAY_COST;
    return (
      own +
      getFailureRate(load) +
      load.getDisruptionCost(prefillMs, now) +
      getColdUse(load) * COLD_COST +
      excess +
      packingCost +
      distance
    );
  };
  const best = minBy(candidates, cost);
  if (!best) return undefined;
  const isAcceptable = best.getFirstEventMs(prefillMs, now) <= slackMs / OBJECTIVE_SHARE;
  return { load: best, helpers: [], heldTokens: job.promptTokens, isAcceptable };
}

function getPackingCost({ size, shortPromptCount }: EngineLoad): number {
  const idle = size === 0 ? 1 : 0;
  const unfilled = 1 - Math.min(shortPromptCount, TARGET_SHORT_PROMPTS) / TARGET_SHORT_PROMPTS;
  return (idle + unfilled) * IDLE_ENGINE_COST;
}
