/** Published performance figures of an engine. */
export interface EnginePace {
  /** Base time in milliseconds of a decode step, which produces one token per decoding request. */
  stepMs: number;
  /** Milliseconds that each decoding request adds to a step. */
  writerMs: number;
  /** Milliseconds that each thousand tokens of context add to a step. */
  contextMsPerThousand: number;
  /** Prefill rate in prompt tokens per second, without the cost of attention pairs. */
  readTokensPerSecond: number;
  /** Milliseconds per million attention pairs (a prompt token and an earlier one). */
  pairMsPerMillion: number;
  /** Decode steps of a pass with decoding requests, each of which gets one event per pass. */
  strideSteps: number;
  /** Capacity of the key-value cache in tokens. */
  memoryTokens: number;
}

const MS_PER_SECOND = 1000;
const TOKENS_PER_UNIT = 1000;
const PAIRS_PER_UNIT = 1_000_000;

/** Predicts prefill and decode times of an engine from its published performance figures. */
export class PassModel {
  constructor(readonly pace: EnginePace) {}

  /** Gets the prefill time of a prompt in milliseconds; attention makes it grow quadratically. */
  getReadMs(tokens: number): number {
    const { readTokensPerSecond, pairMsPerMillion } = this.pace;
    const pairs = (tokens * tokens) / 2 / PAIRS_PER_UNIT;
    return (tokens / readTokensPerSecond) * MS_PER_SECOND + pairs * pairMsPerMillion;
  }

  /** Gets the duration in milliseconds of a pass without prefill: the pause between two events. */
  getPassMs(decodingCount: number, contextTokens: number): number {
    const { stepMs, writerMs, contextMsPerThousand, strideSteps } = this.pace;
    const context = (contextTokens / TOKENS_PER_UNIT) * contextMsPerThousand;
    return strideSteps * (stepMs + decodingCount * writerMs + context);
  }
}
