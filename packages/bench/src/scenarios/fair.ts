import { generateArrivals, Random, runLoad, getSampleRelease } from '@azurecart/fakes';
import type { RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import {
  createSmallCustomers,
  API_KEYS,
  PREFILL_TOKENS_PER_SECOND,
  withBenchFleet,
} from '../BenchFleet.js';

const ENGINES = 4;
const SMALL_CUSTOMERS = 9;
const SMALL_LOAD_FACTOR = 0.1;
const LARGE_FACTOR = 100;
const SMALL_PROMPT_TOKENS: [number, number] = [1000, 3000];
const LARGE_PROMPT_TOKENS: [number, number] = [8000, 12_000];
/** Means of the prompt lengths, from which the request rates are derived. */
const MEAN_SMALL_PROMPT_TOKENS = 2000;
const MEAN_LARGE_PROMPT_TOKENS = 10_000;

/** Latency of small customers beside one that sends 100 times the tokens of all others together. */
export const fair: Bench = {
  name: 'fair',
  summary: 'small customers beside one that sends 100 times the tokens of the rest',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  const { customers } = getSampleRelease() as { customers: Record<string, unknown>[] };
  const releaseOverrides = {
    customers: [...customers, ...createSmallCustomers(SMALL_CUSTOMERS, 'standard')],
  };
  return withBenchFleet({ policy, engines: ENGINES, releaseOverrides }, async (fleet) => {
    const capacity = ENGINES * PREFILL_TOKENS_PER_SECOND;
    const perSecond = (SMALL_LOAD_FACTOR * capacity) / MEAN_SMALL_PROMPT_TOKENS;
    const shared = {
      fromMs: 0,
      toMs: seconds * 1000,
      maxTokens: 20,
      promptTokens: SMALL_PROMPT_TOKENS,
    };
    const small: RequestStream[] = Array.from({ length: SMALL_CUSTOMERS }, (_, index) => ({
      ...shared,
      group: 'small',
      key: `key-small-${index}`,
      perSecond: perSecond / SMALL_CUSTOMERS,
    }));
    const large: RequestStream = {
      ...shared,
      group: 'large',
      key: API_KEYS.standard,
      promptTokens: LARGE_PROMPT_TOKENS,
      perSecond: (perSecond * LARGE_FACTOR * MEAN_SMALL_PROMPT_TOKENS) / MEAN_LARGE_PROMPT_TOKENS,
    };
    const aloneRandom = new Random(seed);
    const alone = await runLoad(generateArrivals(small, aloneRandom), fleet.entryUrls, aloneRandom);
    const random = new Random(seed);
    const mixed = await runLoad(
      generateArrivals([...small, large], random),
      fleet.entryUrls,
      random,
    );
    const [aloneResult, mixedResult] = [alone, mixed].map((results) => results.get('small'));
    const getP95Ms = (group: typeof aloneResult): number =>
      group?.firstTokenMs.getValueAtPercentile(95) ?? 0;
    return {
      smallAlone: aloneResult?.toJson(),
      smallBeside: mixedResult?.toJson(),
      large: mixed.get('large')?.toJson(),
      p95Ratio: Number((getP95Ms(mixedResult) / getP95Ms(aloneResult)).toFixed(2)),
      served: Number(((mixedResult?.whole ?? 0) / (mixedResult?.sent ?? 1)).toFixed(4)),
      target: 'p95Ratio at most 1.5, served at least 0.99',
    };
  });
}
