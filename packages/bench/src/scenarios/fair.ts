import { generateArrivals, Random, runLoad, getSampleRelease } from '@azurecart/fakes';
import type { RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { createCustomers, KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 4;
const SMALL_CUSTOMERS = 9;
const SMALL_LOAD = 0.1;
const LARGE_FACTOR = 100;
const TOKENS: [number, number] = [1000, 3000];
const LARGE_TOKENS: [number, number] = [8000, 12_000];

/** One customer offers a hundred times the tokens that the others offer together. */
export const fair: Bench = {
  name: 'fair',
  summary: 'small customers beside one that offers 100 times the rest',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  const { customers } = getSampleRelease() as { customers: Record<string, unknown>[] };
  const release = { customers: [...customers, ...createCustomers(SMALL_CUSTOMERS, 'standard')] };
  return withBenchFleet({ policy, engines: ENGINES, release }, async (fleet) => {
    const capacity = ENGINES * PREFILL_TOKENS_PER_SECOND;
    const perSecond = (SMALL_LOAD * capacity) / 2000;
    const shared = { fromMs: 0, toMs: seconds * 1000, maxTokens: 20, promptTokens: TOKENS };
    const small: RequestStream[] = Array.from({ length: SMALL_CUSTOMERS }, (_, index) => ({
      ...shared,
      group: 'small',
      key: `key-small-${index}`,
      perSecond: perSecond / SMALL_CUSTOMERS,
    }));
    const large: RequestStream = {
      ...shared,
      group: 'large',
      key: KEYS.standard,
      promptTokens: LARGE_TOKENS,
      perSecond: (perSecond * LARGE_FACTOR * 2000) / 10_000,
    };
    const aloneRandom = new Random(seed);
    const alone = await runLoad(generateArrivals(small, aloneRandom), fleet.entryUrls, aloneRandom);
    const random = new Random(seed);
    const beside = await runLoad(
      generateArrivals([...small, large], random),
      fleet.entryUrls,
      random,
    );
    const [before, after] = [alone, beside].map((results) => results.get('small'));
    const p95 = (group: typeof before): number => group?.firstToken.getValueAtPercentile(95) ?? 0;
    return {
      smallAlone: before?.toJson(),
      smallBeside: after?.toJson(),
      large: beside.get('large')?.toJson(),
      p95Ratio: Number((p95(after) / p95(before)).toFixed(2)),
      served: Number(((after?.whole ?? 0) / (after?.sent ?? 1)).toFixed(4)),
      target: 'p95Ratio at most 1.5, served at least 0.99',
    };
  });
}
