/** Published pace of a model engine. */
export interface EnginePace {
  /** Milliseconds of a step that produces one token for each writer. */
  stepMs: number;
  /** Milliseconds a writer adds to a step. */
  writerMs: number;
  /** Milliseconds that a thousand tokens of a writer's context add to a step. */
  contextMsPerThousand: number;
  /** Prompt tokens read in a second. */
  readTokensPerSecond: number;
  /** Milliseconds for a million pairs of a prompt token and an earlier one. */
  pairMsPerMillion: number;
  /** Steps of a pass that has writers. */
  strideSteps: number;
  /** Memory of the key-value cache in tokens. */
  memoryTokens: number;
}

const MS_PER_SECOND = 1000;
const TOKENS_PER_UNIT = 1000;
const PAIRS_PER_UNIT = 1_000_000;

/** Predicts how long an engine reads and writes, from its published pace. */
export class PassModel {
  constructor(readonly pace: EnginePace) {}

  /** Gets the milliseconds in which an engine reads a prompt, its pairs included. */
  getReadMs(tokens: number): number {
    const { readTokensPerSecond, pairMsPerMillion } = this.pace;
    const pairs = (tokens * tokens) / 2 / PAIRS_PER_UNIT;
    return (tokens / readTokensPerSecond) * MS_PER_SECOND + pairs * pairMsPerMillion;
  }

  /** Gets the milliseconds of a pass without reading: the pause between two events. */
  getPassMs(writers: number, contextTokens: number): number {
    const { stepMs, writerMs, contextMsPerThousand, strideSteps } = this.pace;
    const context = (contextTokens / TOKENS_PER_UNIT) * contextMsPerThousand;
    return strideSteps * (stepMs + writers * writerMs + context);
  }
}
