import type { EngineLoad } from '../EngineLoad.js';
import { MAX_HELPER_FAILURE_RATE, sortBySlowdown } from './EngineChoice.js';
import type { ChoiceContext, EngineChoice } from './EngineChoice.js';

/** Bounds of a shared prefill. */
export interface PrefillBounds {
  /** Number of engines with which the prefill takes its share of the time. */
  least: number;
  most: number;
  /** Number of engines that hold the prompt. */
  holders: number;
  /** Milliseconds within which the first event is due. */
  limitMs: number;
}

/**
 * Chooses the engines that prefill a prompt in even parts, as few as possible. A part goes only to
 * an engine where it breaks no pause limit and no objective. The more engines take part, the smaller
 * the parts are, so that engines with running jobs can take them as well.
 */
export function choosePrefillEngines(
  context: ChoiceContext,
  { least, most, holders, limitMs }: PrefillBounds,
): EngineChoice | undefined {
  const { job, helperCandidates, prefillMs, maxHeldTokens, now, getFailureRate } = context;
  const reliable = helperCandidates.filter(
    (load) => getFailureRate(load) < MAX_HELPER_FAILURE_RATE,
  );
  const partTokens = Math.ceil(job.promptTokens / holders);
  const canHold = (load: EngineLoad): boolean =>
    load.heldTokens + Math.min(partTokens, maxHeldTokens) <= maxHeldTokens;
  for (const parts of getPartCounts(Math.max(least, holders), most, holders)) {
    const partMs = prefillMs / parts;
    const fitting = reliable.filter(
      (load) =>
        load.getFirstEventMs(partMs, now) <= limitMs && load.getDisruptionCost(partMs, now) === 0,
    );
    const ranked = sortBySlowdown(rank(context, fitting));
    const holding = ranked.filter(canHold).slice(0, holders);
    const [load] = holding;
    if (ranked.length < parts || holding.length < holders || !load) continue;
    const others = [...holding.slice(1), ...ranked.filter((each) => !holding.includes(each))];
    return {
      load,
      helpers: others.slice(0, parts - 1).map((helper, index) => ({
        load: helper,
        heldTokens: index < holders - 1 ? partTokens : 0,
      })),
      heldTokens: job.promptTokens - partTokens * (holders - 1),
      isAcceptable: true,
    };
  }
  return undefined;
}

/** Gets numbers of parts: as many as are wanted or more, then fewer, which may still be in time. */
function getPartCounts(wanted: number, most: number, fewest: number): number[] {
  const more = Array.from({ length: Math.max(0, most - wanted + 1) }, (_, index) => wanted + index);
  const fewer = Array.from({ length: wanted - fewest }, (_, index) => wanted - 1 - index);
  return [...more, ...fewer.filter((count) => count <= most)];
}

/**
 * Sorts engines: those with a limit, which turn away few short prompts meanwhile, then those without
 * short prompts, then those in the data centre of the caller. Idle engines are spared while they are
 * few.
 */
function rank({ job, hasLimit }: ChoiceContext, loads: EngineLoad[]): EngineLoad[] {
  const getRank = (load: EngineLoad): number => {
    const hasShort = load.shortPromptCount > 0;
    const isBusy = load.size > 0;
    const isFar = load.engine.dataCentre !== job.dataCentre;
    return Number(!hasLimit(load)) * 8 + Number(hasShort) * 4 + Number(isBusy) * 2 + Number(isFar);
  };
  return loads
    .map((load) => ({ load, rank: getRank(load) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ load }) => load);
}
