import { generateArrivals, Random, runLoad } from '@azurecart/fakes';
import type { RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 6;
const SHORT: [number, number] = [1000, 3000];
const LONG: [number, number] = [100_000, 200_000];
const LONG_SHARE = 1 / 50;
const LOAD = 0.8;

/** Short prompts beside long ones: 1 in 50 prompts has over 100,000 tokens, at 80% load. */
export const hol: Bench = {
  name: 'hol',
  summary: 'head-of-line blocking of short prompts beside long ones, 80% load',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  return withBenchFleet({ policy, engines: ENGINES }, async (fleet) => {
    const toMs = seconds * 1000;
    const meanTokens = (1 - LONG_SHARE) * mean(SHORT) + LONG_SHARE * mean(LONG);
    const perSecond = (LOAD * ENGINES * PREFILL_TOKENS_PER_SECOND) / meanTokens;
    const short: RequestStream = {
      group: 'short',
      key: KEYS.standard,
      perSecond: perSecond * (1 - LONG_SHARE),
      fromMs: 0,
      toMs,
      promptTokens: SHORT,
      maxTokens: 20,
    };
    const long = { ...short, group: 'long', perSecond: perSecond * LONG_SHARE, promptTokens: LONG };
    const alone = await load([short], fleet.entryUrls, seed);
    const mixed = await load([short, long], fleet.entryUrls, seed);
    const before = alone.get('short')?.firstToken.getValueAtPercentile(95) ?? 0;
    const after = mixed.get('short')?.firstToken.getValueAtPercentile(95) ?? 0;
    return {
      perSecond: Math.round(perSecond),
      shortAlone: alone.get('short')?.toJson(),
      shortMixed: mixed.get('short')?.toJson(),
      longMixed: mixed.get('long')?.toJson(),
      p95Ratio: Number((after / before).toFixed(2)),
      target: 'p95Ratio at most 1.5, long ones finish',
    };
  });
}

function load(streams: RequestStream[], urls: string[], seed: number) {
  const random = new Random(seed);
  return runLoad(generateArrivals(streams, random), urls, random);
}

function mean([from, to]: [number, number]): number {
  return (from + to) / 2;
}
