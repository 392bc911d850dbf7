import type { EngineLoad } from '../EngineLoad.js';
import { HELP_RISK, READ_SHARE, WRITE_MS } from './Choice.js';
import type { Candidacy, Choice } from './Choice.js';

/** Engines that may read one prompt, the first one included. */
export const MAX_JOINT_ENGINES = 17;

/**
 * Spreads a prompt that one engine cannot hold, or cannot read in time, over clear engines: as few
 * as possible hold it, and as many as it needs for its objective read it. Gets nothing while too
 * few are clear.
 */
export function chooseJoint(candidacy: Candidacy): Choice | undefined {
  const { job, candidates, engineCount, readMs, slackMs, remainingMs, roomTokens, getRisk } =
    candidacy;
  const holders = Math.ceil(job.promptTokens / roomTokens);
  const clear = sortByDistance(
    candidates.filter((load) => load.size === 0 && getRisk(load) < HELP_RISK),
    job.dataCentre,
  ).slice(0, MAX_JOINT_ENGINES);
  if (clear.length < holders) return undefined;
  const isPunctual = readMs / clear.length < slackMs;
  const isServable = readMs / clear.length + WRITE_MS < remainingMs;
  const mayBecomePunctual = readMs / Math.min(engineCount, MAX_JOINT_ENGINES) < slackMs;
  if (!isServable || (!isPunctual && mayBecomePunctual)) return undefined;
  const readers = isPunctual ? Math.ceil(readMs / (slackMs * READ_SHARE)) : clear.length;
  const [load, ...others] = clear.slice(0, Math.max(holders, readers));
  if (!load) return undefined;
  const partTokens = Math.ceil(job.promptTokens / holders);
  return {
    load,
    helpers: others.map((helper, index) => ({
      load: helper,
      heldTokens: index < holders - 1 ? partTokens : 0,
    })),
    heldTokens: job.promptTokens - partTokens * (holders - 1),
    isClear: true,
  };
}

function sortByDistance(loads: EngineLoad[], dataCentre: string): EngineLoad[] {
  const isFar = ({ engine }: EngineLoad): number => Number(engine.dataCentre !== dataCentre);
  return [...loads].sort((a, b) => isFar(a) - isFar(b));
}
