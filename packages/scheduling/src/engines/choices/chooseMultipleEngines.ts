import type { EngineLoad } from '../EngineLoad.js';
import { PREFILL_SHARE, MIN_DECODE_MS } from './EngineChoice.js';
import type { ChoiceContext, EngineChoice } from './EngineChoice.js';
import { choosePrefillEngines } from './choosePrefillEngines.js';

/** Maximum number of engines that prefill one prompt, including the first one. */
export const MAX_ENGINES_PER_PROMPT = 17;

/** Share of the engines that a prompt which must be late leaves idle. */
const IDLE_SHARE = 0.2;

/**
 * Spreads a prompt that one engine cannot hold, or cannot prefill in time. It is held by as few
 * engines as possible and prefilled by as many as its objective needs. Returns undefined while too
 * few engines can take a part for it to be on time, or to be served at all if it must be late.
 */
export function chooseMultipleEngines(context: ChoiceContext): EngineChoice | undefined {
  const { job, engineCount, prefillMs, slackMs, remainingMs, maxHeldTokens } = context;
  const holders = Math.ceil(job.promptTokens / maxHeldTokens);
  const most = Math.min(engineCount, MAX_ENGINES_PER_PROMPT);
  const isOnTime = prefillMs / most < slackMs;
  const limitMs = isOnTime ? slackMs : remainingMs - MIN_DECODE_MS;
  const least = Math.min(most, Math.ceil(prefillMs / (limitMs * PREFILL_SHARE)));
  if (isOnTime) return choosePrefillEngines(context, { least, most, holders, limitMs });
  // It must not make prompts late that can be on time.
  const isIdle = ({ size }: EngineLoad): boolean => size === 0;
  const idle = context.helperCandidates.filter(isIdle);
  const spare = idle.length - Math.floor(engineCount * IDLE_SHARE);
  const late = { ...context, helperCandidates: idle };
  return choosePrefillEngines(late, { least, most: Math.min(most, spare), holders, limitMs });
}
