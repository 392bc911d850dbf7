import type { EngineLoad } from '../EngineLoad.js';
import { getLeast } from './Choice.js';
import type { Candidacy, Choice } from './Choice.js';

/** Short prompts that one engine gets before another one is opened for them. */
const LIGHT_TARGET = 7;
/** Cost of an engine in another data centre, in parts of a spoilt request. */
const DISTANCE_COST = 0.02;
/** Cost of opening an empty engine for a short prompt, in parts of a spoilt request. */
const OPEN_COST = 0.12;
/** Cost of a first event that takes the whole objective, in parts of a spoilt request. */
const DELAY_COST = 0.5;
/** Cost of each short prompt beyond the target, in parts of a spoilt request. */
const CROWD_COST = 0.08;

/** Packs a short prompt on the engine with the least expected loss, so that others stay clear. */
export function chooseForLight({
  job,
  candidates,
  readMs,
  slackMs,
  now,
  getRisk,
}: Candidacy): Choice | undefined {
  const cost = (load: EngineLoad): number => {
    const firstMs = load.getFirstEventMs(readMs, now);
    const light = load.lightCount;
    const crowd = Math.max(0, light - LIGHT_TARGET) * CROWD_COST;
    const empty = load.size === 0 ? OPEN_COST : 0;
    const fill = (1 - Math.min(light, LIGHT_TARGET) / LIGHT_TARGET) * OPEN_COST;
    const delay = firstMs / job.objectiveMs;
    const distance = load.engine.dataCentre === job.dataCentre ? 0 : DISTANCE_COST;
    const own = firstMs > slackMs ? 1 + delay : delay * DELAY_COST;
    return own + getRisk(load) + load.getHarm(readMs, now) + crowd + empty + fill + distance;
  };
  const best = getLeast(candidates, cost);
  return best && { load: best, helpers: [], heldTokens: job.promptTokens, isClear: true };
}
