import { generateArrivals, Random, runLoad } from '@azurecart/fakes';
import type { GroupResult, RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 4;
const FLOOD = 5;
const ANSWER_TOKENS = 10;
/** Shares are taken over the flood without its first moments, and without the quiet after it. */
const SETTLING_MS = 2000;

/** A flood of the most urgent work at five times the capacity, beside the others. */
export const floor: Bench = {
  name: 'floor',
  summary: 'minimum shares of the others under a flood of urgent work at 5 times capacity',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  return withBenchFleet({ policy, engines: ENGINES }, async (fleet) => {
    const toMs = seconds * 1000;
    const capacity = ENGINES * PREFILL_TOKENS_PER_SECOND;
    const shared = { fromMs: 0, toMs, maxTokens: ANSWER_TOKENS };
    const streams: RequestStream[] = [
      {
        ...shared,
        group: 'urgent',
        key: KEYS.urgent,
        perSecond: (FLOOD * capacity) / 2000,
        promptTokens: [1000, 3000],
      },
      {
        ...shared,
        group: 'standard',
        key: KEYS.standard,
        perSecond: (0.3 * capacity) / 2000,
        promptTokens: [1000, 3000],
      },
      {
        ...shared,
        group: 'batch',
        key: KEYS.batch,
        perSecond: (0.3 * capacity) / 4000,
        promptTokens: [3000, 5000],
      },
    ];
    const random = new Random(seed);
    const results = await runLoad(generateArrivals(streams, random), fleet.entryUrls, random);
    const getTokens = (group: GroupResult | undefined): number =>
      group?.getCompletedTokens(SETTLING_MS, toMs) ?? 0;
    const total = [...results.values()].reduce((sum, group) => sum + getTokens(group), 0);
    const share = (group: GroupResult | undefined): number =>
      Number((getTokens(group) / total).toFixed(3));
    return {
      urgent: results.get('urgent')?.toJson(),
      standard: results.get('standard')?.toJson(),
      batch: results.get('batch')?.toJson(),
      standardShare: share(results.get('standard')),
      batchShare: share(results.get('batch')),
      usefulShareOfCapacity: Number(
        (total / (capacity * ((toMs - SETTLING_MS) / 1000))).toFixed(3),
      ),
      target: 'standardShare at least 0.1, batchShare at least 0.05, useful at least 0.9',
    };
  });
}
