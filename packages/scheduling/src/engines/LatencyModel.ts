/** Published performance figures of an engine. */
export interface PerformanceProfile {
  /** Base time in milliseconds of a decode step, which produces one token per decoding request. */
  stepMs: number;
  /** Milliseconds that each decoding request adds to a step. */
  stepMsPerSequence: number;
  /** Milliseconds that each thousand tokens of context add to a step. */
  stepMsPerThousandContextTokens: number;
  /** Prefill rate in prompt tokens per second, without the cost of attention pairs. */
  prefillTokensPerSecond: number;
  /** Milliseconds per million attention pairs (a prompt token and an earlier one). */
  attentionMsPerMillionPairs: number;
  /** Decode steps of a pass with decoding requests, each of which gets one event per pass. */
  stepsPerPass: number;
  /** Capacity of the key-value cache in tokens. */
  kvCacheTokens: number;
}

const MS_PER_SECOND = 1000;
const TOKENS_PER_UNIT = 1000;
const PAIRS_PER_UNIT = 1_000_000;

/** Predicts prefill and decode times of an engine from its published performance figures. */
export class LatencyModel {
  constructor(readonly profile: PerformanceProfile) {}

  /** Gets the prefill time of a prompt in milliseconds; attention makes it grow quadratically. */
  getPrefillMs(tokens: number): number {
    const {
      prefillTokensPerSecond: readTokensPerSecond,
      attentionMsPerMillionPairs: pairMsPerMillion,
    } = this.profile;
    const pairs = (tokens * tokens) / 2 / PAIRS_PER_UNIT;
    return (tokens / readTokensPerSecond) * MS_PER_SECOND + pairs * pairMsPerMillion;
  }

  /** Gets the duration in milliseconds of a pass without prefill: the pause between two events. */
  getPassMs(decodingCount: number, contextTokens: number): number {
    const {
      stepMs,
      stepMsPerSequence: writerMs,
      stepMsPerThousandContextTokens: contextMsPerThousand,
      stepsPerPass: strideSteps,
    } = this.profile;
    const context = (contextTokens / TOKENS_PER_UNIT) * contextMsPerThousand;
    return strideSteps * (stepMs + decodingCount * writerMs + context);
  }
}
