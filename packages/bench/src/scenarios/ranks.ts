import { generateArrivals, Random, runLoad, getHighest, getSum } from '@azurecart/fakes';
import type { RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 4;
const URGENT_LOAD = 0.1;
const FLOOD = 10;
const BATCH_TOKENS: [number, number] = [6000, 10_000];
const URGENT_TOKENS: [number, number] = [1000, 2000];

/** A flood of the least urgent work at ten times the capacity, beside urgent work. */
export const ranks: Bench = {
  name: 'ranks',
  summary: 'urgent work under a flood of batch work at 10 times capacity',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  return withBenchFleet({ policy, engines: ENGINES }, async (fleet) => {
    const toMs = seconds * 1000;
    const capacity = ENGINES * PREFILL_TOKENS_PER_SECOND;
    const urgent: RequestStream = {
      group: 'urgent',
      key: KEYS.urgent,
      perSecond: (URGENT_LOAD * capacity) / 1500,
      fromMs: 0,
      toMs,
      promptTokens: URGENT_TOKENS,
      maxTokens: 20,
    };
    const batch: RequestStream = {
      group: 'batch',
      key: KEYS.batch,
      perSecond: (FLOOD * capacity) / 8000,
      fromMs: 0,
      toMs,
      promptTokens: BATCH_TOKENS,
      maxTokens: 20,
      headers: { 'azurecart-deadline-ms': '20000' },
    };
    const quietRandom = new Random(seed);
    const quiet = await runLoad(
      generateArrivals([urgent], quietRandom),
      fleet.entryUrls,
      quietRandom,
    );
    const floodRandom = new Random(seed);
    const arrivals = generateArrivals([urgent, batch], floodRandom);
    const flooded = await runLoad(arrivals, fleet.entryUrls, floodRandom);
    const before = quiet.get('urgent')?.firstToken.getValueAtPercentile(95) ?? 0;
    const after = flooded.get('urgent')?.firstToken.getValueAtPercentile(95) ?? 0;
    return {
      urgentQuiet: quiet.get('urgent')?.toJson(),
      urgentFlooded: flooded.get('urgent')?.toJson(),
      batchFlooded: flooded.get('batch')?.toJson(),
      p95Ratio: Number((after / before).toFixed(2)),
      loopDelayP99Ms: await getHighest(fleet, 'azurecart_loop_delay_p99_ms'),
      violations: await getSum(fleet, 'azurecart_invariant_violations_total'),
      target: 'p95Ratio at most 1.2, no urgent request failed, no admitted request past its time',
    };
  });
}
