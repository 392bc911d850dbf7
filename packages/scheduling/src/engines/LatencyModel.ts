/** Published performance figures of an engine. */
export interface PerformanceProfile {
  /** Base time in milliseconds of a decode step, which produces one token per decoding request. */
  stepMs: number;
  /** Milliseconds that each decoding request adds to a step. */
  stepMsPerSequence: number;
  /** Milliseconds that each thousand tokens of context add to a step. */
  stepMsPerThousandContextTokens: number;
  /** Prefill rate in prompt tokens per second, without attention, whose cost is quadratic. */
  prefillTokensPerSecond: number;
  /** Milliseconds per million attention pairs (a prompt token and an earlier one). */
  attentionMsPerMillionPairs: number;
  /** Decode steps of a pass. Each decoding request gets one event at the end of a pass. */
  stepsPerPass: number;
  /** Capacity of the key-value cache in tokens. */
  kvCacheTokens: number;
}

const MS_PER_SECOND = 1000;
const THOUSAND = 1000;
const MILLION = 1_000_000;

/** Predicts prefill and decode times of an engine from its published performance figures. */
export class LatencyModel {
  constructor(readonly profile: PerformanceProfile) {}

  /** Gets the prefill time of a prompt in milliseconds; attention makes it grow quadratically. */
  getPrefillMs(tokens: number): number {
    const { prefillTokensPerSecond, attentionMsPerMillionPairs } = this.profile;
    // Attention pairs in millions, as the profile states their cost.
    const pairs = (tokens * tokens) / 2 / MILLION;
    return (tokens / prefillTokensPerSecond) * MS_PER_SECOND + pairs * attentionMsPerMillionPairs;
  }

  /** Gets the duration in milliseconds of a pass without prefill: the pause between two events. */
  getPassMs(decodingCount: number, contextTokens: number): number {
    const { stepMs, stepMsPerSequence, stepMsPerThousandContextTokens, stepsPerPass } =
      this.profile;
    const contextMs = (contextTokens / THOUSAND) * stepMsPerThousandContextTokens;
    return stepsPerPass * (stepMs + decodingCount * stepMsPerSequence + contextMs);
  }
}
