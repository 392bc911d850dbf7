import { generateArrivals, Random, runLoad, getMetric } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { API_KEYS, withBenchFleet } from '../BenchFleet.js';

const REQUESTS_PER_SECOND = 150;
/** So fast that the prefill of a short prompt takes almost no time. */
const FAST_PREFILL_TOKENS_PER_SECOND = 10_000_000;

/** Overhead of the entry process for a short prompt with one answer token. */
export const overhead: Bench = {
  name: 'overhead',
  summary: 'latency, CPU and memory overhead of the entry process for short prompts',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  const engineOverrides = {
    prefillTokensPerSecond: FAST_PREFILL_TOKENS_PER_SECOND,
    decodeStepMs: 0.1,
  };
  const fleetOverrides = { entries: 1 };
  return withBenchFleet({ policy, engines: 2, engineOverrides, fleetOverrides }, async (fleet) => {
    const url = fleet.entryUrls[0] ?? '';
    const random = new Random(seed);
    const stream = {
      group: 'short',
      key: API_KEYS.urgent,
      perSecond: REQUESTS_PER_SECOND,
      fromMs: 0,
      toMs: seconds * 1000,
      promptTokens: [200, 400] as [number, number],
      maxTokens: 1,
    };
    const before = await getMetric(url, 'process_cpu_seconds_total');
    const results = await runLoad(generateArrivals([stream], random), [url], random);
    const cpuSeconds = (await getMetric(url, 'process_cpu_seconds_total')) - before;
    const short = results.get('short');
    const cpuSecondsPerRequest = cpuSeconds / (short?.sent ?? 1);
    const estimatedEngineMs = 1;
    return {
      short: short?.toJson(),
      addedP50Ms: (short?.totalMs.getValueAtPercentile(50) ?? 0) - estimatedEngineMs,
      addedP99Ms: (short?.totalMs.getValueAtPercentile(99) ?? 0) - estimatedEngineMs,
      cpuMsEach: Number((cpuSecondsPerRequest * 1000).toFixed(3)),
      perSecondForACore: Math.round(1 / cpuSecondsPerRequest),
      residentBytes: await getMetric(url, 'process_resident_memory_bytes'),
    };
  });
}
