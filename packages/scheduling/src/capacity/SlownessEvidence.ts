/** How an upstream compares with its peers. */
export interface SlownessEvidence {
  /** Number of observations, of which older ones count less. */
  weight: number;
  /** Mean natural logarithm of the time that it takes, as a multiple of that of its peers. */
  deviation: number;
  /** Variance of the observations. */
  variance: number;
  /** Monotonic time of the last observation in milliseconds. */
  observedAt: number;
}

/** Natural logarithm of the slowdown below which an upstream counts as being like its peers. */
export const DEAD_BAND = Math.log(1.5);
/** Weight of observations that confirm or refute what was known before. */
const MIN_CONFIRMING_WEIGHT = 0.75;
/** Weight of observations below which they prove nothing new. */
const MIN_WEIGHT = 2;
/** Distance from the dead band in standard errors at which a deviation is not taken for noise. */
const MIN_STANDARD_ERRORS = 2;
/** Assumed variance, which counts as this many observations. */
const PRIOR_VARIANCE = 0.25;
const PRIOR_WEIGHT = 2;

/** Combines evidence from different observations of one upstream. */
export function poolEvidence(parts: (SlownessEvidence | undefined)[]): SlownessEvidence {
  const known = parts.filter((part) => part !== undefined && part.weight > 0) as SlownessEvidence[];
  const weight = known.reduce((sum, part) => sum + part.weight, 0);
  if (weight === 0) return { weight: 0, deviation: 0, variance: 0, observedAt: 0 };
  const getMean = (getValue: (part: SlownessEvidence) => number): number =>
    known.reduce((sum, part) => sum + getValue(part) * part.weight, 0) / weight;
  return {
    weight,
    deviation: getMean(({ deviation }) => deviation),
    variance: getMean(({ variance }) => variance),
    observedAt: Math.max(...known.map(({ observedAt }) => observedAt)),
  };
}

export function isSufficient({ weight }: SlownessEvidence): boolean {
  return weight >= MIN_WEIGHT;
}

/** Returns true for evidence that an upstream, which was slow before, is well; little will do. */
export function refutesSlowness({ weight, deviation }: SlownessEvidence): boolean {
  return weight >= MIN_CONFIRMING_WEIGHT && deviation < DEAD_BAND;
}

/** Returns true for evidence of the same direction as an earlier deviation; little will do. */
export function confirms({ weight, deviation }: SlownessEvidence, earlier: number): boolean {
  const isSameDirection = Math.sign(deviation) === Math.sign(earlier);
  return weight >= MIN_CONFIRMING_WEIGHT && isSameDirection && Math.abs(deviation) > DEAD_BAND;
}

/** Gets the deviation if it exceeds the dead band by more than noise; 0 otherwise. */
export function getSignificantDeviation(evidence: SlownessEvidence): number {
  return isSignificant(evidence.deviation, getErrorVariance(evidence)) ? evidence.deviation : 0;
}

/**
 * Finds the lowest band of utilisation in which an upstream is slower than in the bands below.
 * @param bands - Evidence by band; undefined where nothing was observed.
 */
export function findKneeBand(bands: (SlownessEvidence | undefined)[]): number | undefined {
  const index = bands.findIndex((upper, band) => {
    const lower = poolEvidence(bands.slice(0, band));
    if (!upper || !isSufficient(upper) || !isSufficient(lower)) return false;
    const difference = upper.deviation - lower.deviation;
    return (
      difference > 0 && isSignificant(difference, getErrorVariance(upper) + getErrorVariance(lower))
    );
  });
  return index === -1 ? undefined : index;
}

function isSignificant(deviation: number, errorVariance: number): boolean {
  return Math.abs(deviation) > DEAD_BAND + MIN_STANDARD_ERRORS * Math.sqrt(errorVariance);
}

/** Gets the squared standard error of the deviation. */
function getErrorVariance({ weight, variance }: SlownessEvidence): number {
  const prior = PRIOR_VARIANCE * PRIOR_WEIGHT;
  return (variance * weight + prior) / (weight + PRIOR_WEIGHT) / weight;
}
