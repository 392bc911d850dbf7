import { drawArrivals, Random, runLoad } from '../../load/index.js';
import type { GroupResult, Stream } from '../../load/index.js';
import type { Bench, BenchOptions } from '../Bench.js';
import { KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 4;
const FLOOD = 5;
const ANSWER_TOKENS = 10;

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
    const streams: Stream[] = [
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
    const startedAt = performance.now();
    const results = await runLoad(drawArrivals(streams, random), fleet.entryUrls, random);
    const elapsedMs = performance.now() - startedAt;
    const total = [...results.values()].reduce((sum, group) => sum + group.usefulTokens, 0);
    const share = (group: GroupResult | undefined): number =>
      Number(((group?.usefulTokens ?? 0) / total).toFixed(3));
    return {
      urgent: results.get('urgent')?.toJson(),
      standard: results.get('standard')?.toJson(),
      batch: results.get('batch')?.toJson(),
      standardShare: share(results.get('standard')),
      batchShare: share(results.get('batch')),
      usefulShareOfCapacity: Number((total / (capacity * (elapsedMs / 1000))).toFixed(3)),
      target: 'standardShare at least 0.1, batchShare at least 0.05, useful at least 0.9',
    };
  });
}
