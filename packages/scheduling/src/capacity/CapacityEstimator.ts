import { DecayingSample } from './DecayingSample.js';
import type { ObservationTotals } from './DecayingSample.js';
import { RampedLimit } from './RampedLimit.js';
import type { UpstreamCapacity } from './UpstreamCapacity.js';
import {
  confirms,
  DEAD_BAND,
  findKneeBand,
  getSignificantDeviation,
  isSufficient,
  poolEvidence,
  refutesSlowness,
} from './SlownessEvidence.js';
import type { SlownessEvidence } from './SlownessEvidence.js';

/** Options of a {@link CapacityEstimator}. */
export interface CapacityEstimatorOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  /**
   * True if durations are ratios to expected ones, so that an upstream can be compared with peers
   * that served other kinds of requests if too few served the same kind.
   */
  comparesKinds?: boolean;
}

/** How long an upstream took for one request. */
export interface CapacityObservation {
  upstream: string;
  /** Requests of one kind are compared with each other only. */
  kind: string;
  /** Duration in milliseconds, or its ratio to the expected one; the same for all of a kind. */
  duration: number;
  /** Jobs of the upstream at the time, including this one, as a share of its slots. */
  utilisation?: number;
}

/** Durations of several requests of one kind at one upstream, as natural logarithms. */
export interface ObservationSummary extends ObservationTotals {
  upstream: string;
  kind: string;
}

/** A change of what is known of an upstream. */
export interface CapacityChange {
  upstream: string;
  slowdown: number;
  /** Share of the slots up to which the upstream does not slow down; 1 if it never does. */
  limitShare: number;
}

/** Half-life of observations in milliseconds. */
const HALF_LIFE_MS = 3000;
/** Half-life in milliseconds of a slowdown that new observations neither confirm nor refute. */
const RECOVERY_HALF_LIFE_MS = 8000;
/** Time in milliseconds in which the limit of an upstream with a knee would rise to all slots. */
const KNEE_RAMP_MS = 10_000;
/**
 * Time in milliseconds in which the limit of an upstream that was slow rises to all slots, unless
 * observations show earlier that it is well.
 */
const TRIAL_RAMP_MS = 60_000;
/** Interval in milliseconds at which estimates are computed. */
const UPDATE_INTERVAL_MS = 100;
/** Ranges of utilisation that are observed separately. */
const BAND_COUNT = 4;
/** Number of upstreams, with this weight of observations each, that peers are compared with. */
const MIN_PEERS = 3;
const MIN_PEER_WEIGHT = 2;
/** Weight of observations below which they are discarded. */
const NEGLIGIBLE_WEIGHT = 0.01;
/** Natural logarithm of the largest slowdown; a single observation counts no more either. */
const MAX_DEVIATION = Math.log(8);

/** Observations of one kind in one band of utilisation, by upstream. */
type PeerGroup = Map<string, DecayingSample>;

interface UpstreamState {
  /** Natural logarithm of the slowdown at `observedAt`. */
  deviation: number;
  observedAt: number;
  limit: RampedLimit | undefined;
}

/**
 * Estimates from the durations of requests how fast each upstream is and at how much work it begins
 * to slow down.
 * @remarks An upstream is compared with the median of its peers for the same kind of requests at
 * the same utilisation. A service that slows down as a whole keeps its distribution of work.
 */
export class CapacityEstimator implements UpstreamCapacity {
  private readonly groups = new Map<string, { kind: string; band: number; samples: PeerGroup }>();

  private readonly states = new Map<string, UpstreamState>();

  /** Median of each group, as of the last update. */
  private references = new Map<string, number>();

  private updatedAt = -Infinity;

  constructor(private readonly options: CapacityEstimatorOptions) {}

  record({ upstream, kind, duration, utilisation = 0 }: CapacityObservation): void {
    const value = Math.log(Math.max(duration, Number.MIN_VALUE));
    this.add({ upstream, kind, count: 1, sum: value, sumOfSquares: value ** 2 }, utilisation);
  }

  /** Records what another process has observed. */
  recordSummary(summary: ObservationSummary): void {
    const { count, sum, sumOfSquares } = summary;
    if (count > 0 && [count, sum, sumOfSquares].every(Number.isFinite)) this.add(summary, 0);
  }

  getSlowdown(upstream: string): number {
    this.update();
    const state = this.states.get(upstream);
    return state ? Math.exp(this.getDeviation(state)) : 1;
  }

  getLimit(upstream: string, slots: number): number {
    this.update();
    return this.states.get(upstream)?.limit?.getJobs(slots, this.options.now()) ?? slots;
  }

  /** Gets all upstreams that differ from their peers. */
  getDeviating(): CapacityChange[] {
    this.update();
    const now = this.options.now();
    return [...this.states]
      .map(([upstream, state]) => ({
        upstream,
        slowdown: Math.exp(this.getDeviation(state)),
        limitShare: Math.min(1, state.limit?.getShare(now) ?? 1),
      }))
      .filter(({ slowdown, limitShare }) => slowdown !== 1 || limitShare < 1);
  }

  /** Discards what is known of other upstreams. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const { samples } of this.groups.values())
      for (const upstream of samples.keys()) if (!isKnown(upstream)) samples.delete(upstream);
    for (const upstream of this.states.keys()) if (!isKnown(upstream)) this.states.delete(upstream);
  }

  private add({ upstream, kind, ...totals }: ObservationSummary, utilisation: number): void {
    const band = Math.max(0, Math.min(BAND_COUNT - 1, Math.ceil(utilisation * BAND_COUNT) - 1));
    const key = `${band} ${kind}`;
    const group = this.groups.get(key) ?? {
      kind,
      band,
      samples: new Map<string, DecayingSample>(),
    };
    this.groups.set(key, group);
    const sample = group.samples.get(upstream) ?? new DecayingSample(HALF_LIFE_MS);
    group.samples.set(upstream, sample);
    sample.add(limitTotals(totals, this.references.get(key)), this.options.now());
  }

  private update(): void {
    const now = this.options.now();
    if (now - this.updatedAt < UPDATE_INTERVAL_MS) return;
    this.updatedAt = now;
    this.updateReferences(now);
    const evidence = this.collectEvidence(now);
    for (const upstream of evidence.keys()) this.getState(upstream);
    for (const [upstream, state] of this.states) {
      this.updateState(state, evidence.get(upstream) ?? [], now);
      if (state.deviation === 0 && !state.limit) this.states.delete(upstream);
    }
  }

  /**
   * Updates the medians of peers. If too few were observed in a band, those in all bands are taken,
   * and after that those for all kinds, if these can be compared.
   */
  private updateReferences(now: number): void {
    this.references.clear();
    const groups = [...this.groups].map(([key, group]) => ({ key, ...group }));
    groups.forEach(({ key, samples }) => {
      removeNegligible(samples, now);
      if (samples.size === 0) this.groups.delete(key);
    });
    const all = this.options.comparesKinds
      ? getReference(
          groups.map(({ samples }) => samples),
          now,
        )
      : undefined;
    for (const { key, kind, samples } of groups) {
      const ofKind = groups.filter((group) => group.kind === kind);
      const reference =
        getReference([samples], now) ??
        getReference(
          ofKind.map((group) => group.samples),
          now,
        ) ??
        all;
      if (reference !== undefined) this.references.set(key, reference);
    }
  }

  /** Gets the deviations of each upstream from its peers, by band of utilisation. */
  private collectEvidence(now: number): Map<string, SlownessEvidence[]> {
    const byUpstream = new Map<string, SlownessEvidence[]>();
    for (const [key, { band, samples }] of this.groups) {
      const reference = this.references.get(key);
      if (reference === undefined) continue;
      for (const [upstream, sample] of samples) {
        const bands = byUpstream.get(upstream) ?? [];
        byUpstream.set(upstream, bands);
        const evidence: SlownessEvidence = {
          weight: sample.getWeight(now),
          deviation: clampDeviation(sample.mean - reference),
          variance: sample.variance,
          observedAt: sample.updatedAt,
        };
        bands[band] = poolEvidence([bands[band], evidence]);
      }
    }
    return byUpstream;
  }

  private updateState(state: UpstreamState, bands: SlownessEvidence[], now: number): void {
    const updated = state;
    const kneeBand = findKneeBand(bands);
    const known = poolEvidence(kneeBand === undefined ? bands : bands.slice(0, kneeBand));
    const knee = kneeBand === undefined ? undefined : bands[kneeBand];
    if (kneeBand !== undefined && knee)
      updated.limit = new RampedLimit(kneeBand / BAND_COUNT, knee.observedAt, KNEE_RAMP_MS);
    const isConfirmed = confirms(known, state.deviation);
    if (isConfirmed || isSufficient(known)) {
      updated.deviation = isConfirmed ? known.deviation : getSignificantDeviation(known);
      updated.observedAt = known.observedAt;
    } else if (state.deviation !== 0 && this.getDeviation(state) === 0) {
      if (state.deviation > 0) updated.limit = new RampedLimit(0, now, TRIAL_RAMP_MS);
      updated.deviation = 0;
    }
    const isTrial = updated.limit?.share === 0;
    if (updated.limit?.isOver(now) || (isTrial && refutesSlowness(known)))
      updated.limit = undefined;
  }

  private getDeviation({ deviation, observedAt }: UpstreamState): number {
    const ageMs = this.options.now() - observedAt;
    const left = deviation * 0.5 ** (ageMs / RECOVERY_HALF_LIFE_MS);
    return Math.abs(left) < DEAD_BAND ? 0 : left;
  }

  private getState(upstream: string): UpstreamState {
    const known = this.states.get(upstream);
    if (known) return known;
    const created: UpstreamState = { deviation: 0, observedAt: 0, limit: undefined };
    this.states.set(upstream, created);
    return created;
  }
}

/** Bounds the mean of observations, so that a single one can't outweigh many others. */
function limitTotals(totals: ObservationTotals, reference: number | undefined): ObservationTotals {
  if (reference === undefined) return totals;
  const { count, sum, sumOfSquares } = totals;
  const mean = sum / count;
  const limited = reference + clampDeviation(mean - reference);
  const variance = Math.max(0, sumOfSquares / count - mean ** 2);
  return { count, sum: limited * count, sumOfSquares: (variance + limited ** 2) * count };
}

function clampDeviation(value: number): number {
  return Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, value));
}

function removeNegligible(samples: PeerGroup, now: number): void {
  for (const [upstream, sample] of samples)
    if (sample.getWeight(now) < NEGLIGIBLE_WEIGHT) samples.delete(upstream);
}

/** Gets the median of the peers; undefined if there are too few. */
function getReference(groups: PeerGroup[], now: number): number | undefined {
  const sums = new Map<string, { weight: number; sum: number }>();
  for (const group of groups) {
    for (const [upstream, sample] of group) {
      const { weight, sum } = sums.get(upstream) ?? { weight: 0, sum: 0 };
      const added = sample.getWeight(now);
      sums.set(upstream, { weight: weight + added, sum: sum + sample.mean * added });
    }
  }
  const peers = [...sums.values()].filter(({ weight }) => weight >= MIN_PEER_WEIGHT);
  if (peers.length < MIN_PEERS) return undefined;
  return getMedian(peers.map(({ weight, sum }) => sum / weight));
}

/** Gets the median, the lower one of two; undefined without values. */
function getMedian(values: number[]): number | undefined {
  return values.sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}
