import type { EngineLoad } from '../EngineLoad.js';
import {
  MAX_HELPER_FAILURE_RATE,
  sortBySlowdown,
  PREFILL_SHARE,
  MIN_DECODE_MS,
} from './EngineChoice.js';
import type { ChoiceContext, EngineChoice } from './EngineChoice.js';

/** Maximum number of engines that prefill one prompt, including the first one. */
export const MAX_ENGINES_PER_PROMPT = 17;

/**
 * Spreads a prompt that one engine cannot hold, or cannot prefill in time, over idle engines. It is
 * held by as few engines as possible and prefilled by as many as its objective needs. Returns
 * undefined while too few engines are idle to hold it, to serve it in the time for which the client
 * waits, or to meet its objective if more engines could.
 */
export function chooseMultipleEngines(context: ChoiceContext): EngineChoice | undefined {
  const {
    job,
    candidates,
    engineCount,
    prefillMs,
    slackMs,
    remainingMs,
    maxHeldTokens,
    getFailureRate,
    hasLimit,
  } = context;
  const holders = Math.ceil(job.promptTokens / maxHeldTokens);
  const reliable = candidates.filter(
    (load) => load.size === 0 && getFailureRate(load) < MAX_HELPER_FAILURE_RATE,
  );
  const isFar = ({ engine }: EngineLoad): number => Number(engine.dataCentre !== job.dataCentre);
  reliable.sort((a, b) => Number(hasLimit(b)) - Number(hasLimit(a)) || isFar(a) - isFar(b));
  const idle = sortBySlowdown(reliable).slice(0, MAX_ENGINES_PER_PROMPT);
  if (idle.length < holders) return undefined;
  const meetsObjective = prefillMs / idle.length < slackMs;
  const isServable = prefillMs / idle.length + MIN_DECODE_MS < remainingMs;
  const couldMeetObjective = prefillMs / Math.min(engineCount, MAX_ENGINES_PER_PROMPT) < slackMs;
  if (!isServable || (!meetsObjective && couldMeetObjective)) return undefined;
  const prefillEngines = meetsObjective
    ? Math.ceil(prefillMs / (slackMs * PREFILL_SHARE))
    : idle.length;
  const [load, ...others] = idle.slice(0, Math.max(holders, prefillEngines));
  if (!load) return undefined;
  const partTokens = Math.ceil(job.promptTokens / holders);
  return {
    load,
    helpers: others.map((helper, index) => ({
      load: helper,
      heldTokens: index < holders - 1 ? partTokens : 0,
    })),
    heldTokens: job.promptTokens - partTokens * (holders - 1),
    isAcceptable: true,
  };
}
