import { generateArrivals, Random, runLoad } from '@azurecart/fakes';
import type { GroupResult, RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { API_KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 4;
const OVERLOAD_FACTOR = 5;
const OUTPUT_TOKENS = 10;
/** Only requests completed between this time and the end of the load count towards the shares. */
const WARM_UP_MS = 2000;
/** Means of the prompt lengths, from which the request rates are derived. */
const MEAN_PROMPT_TOKENS = 2000;
const MEAN_BATCH_PROMPT_TOKENS = 4000;

/** Minimum shares of the other priorities under urgent load at five times the capacity. */
export const floor: Bench = {
  name: 'floor',
  summary: 'minimum shares of standard and batch work under urgent load at 5 times capacity',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  return withBenchFleet({ policy, engines: ENGINES }, async (fleet) => {
    const toMs = seconds * 1000;
    const capacity = ENGINES * PREFILL_TOKENS_PER_SECOND;
    const shared = { fromMs: 0, toMs, maxTokens: OUTPUT_TOKENS };
    const streams: RequestStream[] = [
      {
        ...shared,
        group: 'urgent',
        key: API_KEYS.urgent,
        perSecond: (OVERLOAD_FACTOR * capacity) / MEAN_PROMPT_TOKENS,
        promptTokens: [1000, 3000],
      },
      {
        ...shared,
        group: 'standard',
        key: API_KEYS.standard,
        perSecond: (0.3 * capacity) / MEAN_PROMPT_TOKENS,
        promptTokens: [1000, 3000],
      },
      {
        ...shared,
        group: 'batch',
        key: API_KEYS.batch,
        perSecond: (0.3 * capacity) / MEAN_BATCH_PROMPT_TOKENS,
        promptTokens: [3000, 5000],
      },
    ];
    const random = new Random(seed);
    const results = await runLoad(generateArrivals(streams, random), fleet.entryUrls, random);
    const getTokens = (group: GroupResult | undefined): number =>
      group?.getCompletedTokens(WARM_UP_MS, toMs) ?? 0;
    const total = [...results.values()].reduce((sum, group) => sum + getTokens(group), 0);
    const getShare = (group: GroupResult | undefined): number =>
      Number((getTokens(group) / total).toFixed(3));
    return {
      urgent: results.get('urgent')?.toJson(),
      standard: results.get('standard')?.toJson(),
      batch: results.get('batch')?.toJson(),
      standardShare: getShare(results.get('standard')),
      batchShare: getShare(results.get('batch')),
      // Prompt and answer tokens of the completed requests, relative to the prefill capacity.
      usefulShareOfCapacity: Number((total / (capacity * ((toMs - WARM_UP_MS) / 1000))).toFixed(3)),
      target:
        'standardShare at least 0.1, batchShare at least 0.05, usefulShareOfCapacity at least 0.9',
    };
  });
}
