import { generateArrivals, Random, runLoad } from '@azurecart/fakes';
import type { RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { API_KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 6;
const SHORT_PROMPT_TOKENS: [number, number] = [1000, 3000];
const LONG_PROMPT_TOKENS: [number, number] = [100_000, 200_000];
const LONG_PROMPT_SHARE = 1 / 50;
const LOAD_FACTOR = 0.8;

/** Head-of-line blocking: 1 in 50 prompts has 100,000 tokens or more, at 80% load. */
export const hol: Bench = {
  name: 'hol',
  summary: 'head-of-line blocking of short prompts beside long ones, 80% load',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  return withBenchFleet({ policy, engines: ENGINES }, async (fleet) => {
    const toMs = seconds * 1000;
    const meanTokens =
      (1 - LONG_PROMPT_SHARE) * mean(SHORT_PROMPT_TOKENS) +
      LONG_PROMPT_SHARE * mean(LONG_PROMPT_TOKENS);
    const perSecond = (LOAD_FACTOR * ENGINES * PREFILL_TOKENS_PER_SECOND) / meanTokens;
    const short: RequestStream = {
      group: 'short',
      key: API_KEYS.standard,
      perSecond: perSecond * (1 - LONG_PROMPT_SHARE),
      fromMs: 0,
      toMs,
      promptTokens: SHORT_PROMPT_TOKENS,
      maxTokens: 20,
    };
    const long = {
      ...short,
      group: 'long',
      perSecond: perSecond * LONG_PROMPT_SHARE,
      promptTokens: LONG_PROMPT_TOKENS,
    };
    const alone = await runStreams([short], fleet.entryUrls, seed);
    const mixed = await runStreams([short, long], fleet.entryUrls, seed);
    const aloneP95Ms = alone.get('short')?.firstTokenMs.getValueAtPercentile(95) ?? 0;
    const mixedP95Ms = mixed.get('short')?.firstTokenMs.getValueAtPercentile(95) ?? 0;
    return {
      perSecond: Math.round(perSecond),
      shortAlone: alone.get('short')?.toJson(),
      shortMixed: mixed.get('short')?.toJson(),
      longMixed: mixed.get('long')?.toJson(),
      p95Ratio: Number((mixedP95Ms / aloneP95Ms).toFixed(2)),
      target: 'p95Ratio at most 1.5, all long prompts complete',
    };
  });
}

function runStreams(streams: RequestStream[], urls: string[], seed: number) {
  const random = new Random(seed);
  return runLoad(generateArrivals(streams, random), urls, random);
}

function mean([from, to]: [number, number]): number {
  return (from + to) / 2;
}
