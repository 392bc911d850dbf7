import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { PromptResult } from './PromptClient.js';

/** Aggregated results of the requests of one group. */
export class GroupResult {
  sent = 0;

  whole = 0;

  refused = 0;

  failed = 0;

  wrong = 0;

  completedTokens = 0;

  private readonly completions: { atMs: number; tokens: number }[] = [];

  /** Number of refused, failed and wrong requests by error code, of those that have one. */
  readonly codes: Record<string, number> = {};

  readonly firstTokenMs: Histogram = build({ highestTrackableValue: 600_000 });

  readonly totalMs: Histogram = build({ highestTrackableValue: 600_000 });

  /**
   * Adds the result of one request.
   * @param atMs - Completion time, relative to the start of the load.
   */
  add(result: PromptResult, atMs: number): void {
    this.sent += 1;
    this[result.kind] += 1;
    if (result.code !== '') this.codes[result.code] = (this.codes[result.code] ?? 0) + 1;
    if (result.kind !== 'whole') return;
    const tokens = result.promptTokens + result.outputTokens;
    this.completedTokens += tokens;
    this.completions.push({ atMs, tokens });
    this.firstTokenMs.recordValue(result.firstTokenMs);
    this.totalMs.recordValue(result.totalMs);
  }

  /** Gets the prompt and answer tokens of the requests that completed in `[fromMs, toMs)`. */
  getCompletedTokens(fromMs: number, toMs: number): number {
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
      firstTokenP50Ms: this.firstTokenMs.getValueAtPercentile(50),
      firstTokenP95Ms: this.firstTokenMs.getValueAtPercentile(95),
      firstTokenP99Ms: this.firstTokenMs.getValueAtPercentile(99),
      totalP95Ms: this.totalMs.getValueAtPercentile(95),
      ...(Object.keys(codes).length > 0 ? { codes } : {}),
    };
  }
}
