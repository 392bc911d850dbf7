import { generateArrivals, Random, runLoad, getMaxMetric, getMetricSum } from '@azurecart/fakes';
import type { RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { API_KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 4;
const URGENT_LOAD_FACTOR = 0.1;
const OVERLOAD_FACTOR = 10;
const BATCH_PROMPT_TOKENS: [number, number] = [6000, 10_000];
const URGENT_PROMPT_TOKENS: [number, number] = [1000, 2000];
/** Means of the prompt lengths, from which the request rates are derived. */
const MEAN_BATCH_PROMPT_TOKENS = 8000;
const MEAN_URGENT_PROMPT_TOKENS = 1500;

/** Latency of urgent work beside batch load at ten times the capacity. */
export const ranks: Bench = {
  name: 'ranks',
  summary: 'urgent work beside batch load at 10 times capacity',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  return withBenchFleet({ policy, engines: ENGINES }, async (fleet) => {
    const toMs = seconds * 1000;
    const capacity = ENGINES * PREFILL_TOKENS_PER_SECOND;
    const urgent: RequestStream = {
      group: 'urgent',
      key: API_KEYS.urgent,
      perSecond: (URGENT_LOAD_FACTOR * capacity) / MEAN_URGENT_PROMPT_TOKENS,
      fromMs: 0,
      toMs,
      promptTokens: URGENT_PROMPT_TOKENS,
      maxTokens: 20,
    };
    const batch: RequestStream = {
      group: 'batch',
      key: API_KEYS.batch,
      perSecond: (OVERLOAD_FACTOR * capacity) / MEAN_BATCH_PROMPT_TOKENS,
      fromMs: 0,
      toMs,
      promptTokens: BATCH_PROMPT_TOKENS,
      maxTokens: 20,
      headers: { 'azurecart-deadline-ms': '20000' },
    };
    const aloneRandom = new Random(seed);
    const alone = await runLoad(
      generateArrivals([urgent], aloneRandom),
      fleet.entryUrls,
      aloneRandom,
    );
    const overloadRandom = new Random(seed);
    const arrivals = generateArrivals([urgent, batch], overloadRandom);
    const overloaded = await runLoad(arrivals, fleet.entryUrls, overloadRandom);
    const aloneP95Ms = alone.get('urgent')?.firstTokenMs.getValueAtPercentile(95) ?? 0;
    const overloadedP95Ms = overloaded.get('urgent')?.firstTokenMs.getValueAtPercentile(95) ?? 0;
    return {
      urgentQuiet: alone.get('urgent')?.toJson(),
      urgentFlooded: overloaded.get('urgent')?.toJson(),
      batchFlooded: overloaded.get('batch')?.toJson(),
      p95Ratio: Number((overloadedP95Ms / aloneP95Ms).toFixed(2)),
      loopDelayP99Ms: await getMaxMetric(fleet, 'azurecart_loop_delay_p99_ms'),
      violations: await getMetricSum(fleet, 'azurecart_invariant_violations_total'),
      target:
        'p95Ratio at most 1.2, no urgent request failed, no admitted request past its deadline',
    };
  });
}
