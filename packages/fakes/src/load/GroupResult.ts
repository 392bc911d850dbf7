import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { PromptResult } from './PromptClient.js';

/** Results of one group of requests. */
export class GroupResult {
  sent = 0;

  whole = 0;

  refused = 0;

  failed = 0;

  wrong = 0;

  usefulTokens = 0;

  private readonly completions: { atMs: number; tokens: number }[] = [];

  /** Reasons of refusals and failures, by number. */
  readonly codes: Record<string, number> = {};

  readonly firstToken: Histogram = build({ highestTrackableValue: 600_000 });

  readonly total: Histogram = build({ highestTrackableValue: 600_000 });

  /**
   * Adds a result.
   * @param atMs - Time of its end since the start of the load.
   */
  add(result: PromptResult, atMs: number): void {
    this.sent += 1;
    this[result.kind] += 1;
    if (result.code !== '') this.codes[result.code] = (this.codes[result.code] ?? 0) + 1;
    if (result.kind !== 'whole') return;
    const tokens = result.promptTokens + result.answerTokens;
    this.usefulTokens += tokens;
    this.completions.push({ atMs, tokens });
    this.firstToken.recordValue(result.firstTokenMs);
    this.total.recordValue(result.totalMs);
  }

  /** Gets the tokens of the answers that were whole within a span of time. */
  getUsefulTokens(fromMs: number, toMs: number): number {
    const within = this.completions.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
    return within.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  toJson(): Record<string, unknown> {
    const { sent, whole, refused, failed, wrong, codes } = this;
    return {
      sent,
      whole,
      refused,
      failed,
      wrong,
      firstTokenP50Ms: this.firstToken.getValueAtPercentile(50),
      firstTokenP95Ms: this.firstToken.getValueAtPercentile(95),
      firstTokenP99Ms: this.firstToken.getValueAtPercentile(99),
      totalP95Ms: this.total.getValueAtPercentile(95),
      ...(Object.keys(codes).length > 0 ? { codes } : {}),
    };
  }
}
