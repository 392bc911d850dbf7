import { generateArrivals, Random, runLoad, getMetric } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { KEYS, withBenchFleet } from '../BenchFleet.js';

const PER_SECOND = 150;
const PREFILL_TOKENS_PER_SECOND = 10_000_000;

/** What the entry process adds to a short request of one answer token. */
export const overhead: Bench = {
  name: 'overhead',
  summary: 'time, CPU and memory that the entry process adds to a short request',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  const engine = { prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND, decodeStepMs: 0.1 };
  const fleetOptions = { entries: 1 };
  return withBenchFleet({ policy, engines: 2, engine, fleet: fleetOptions }, async (fleet) => {
    const url = fleet.entryUrls[0] ?? '';
    const random = new Random(seed);
    const stream = {
      group: 'short',
      key: KEYS.urgent,
      perSecond: PER_SECOND,
      fromMs: 0,
      toMs: seconds * 1000,
      promptTokens: [200, 400] as [number, number],
      maxTokens: 1,
    };
    const before = await getMetric(url, 'process_cpu_seconds_total');
    const results = await runLoad(generateArrivals([stream], random), [url], random);
    const cpuSeconds = (await getMetric(url, 'process_cpu_seconds_total')) - before;
    const short = results.get('short');
    const cpuEach = cpuSeconds / (short?.sent ?? 1);
    const engineMs = 1;
    return {
      short: short?.toJson(),
      addedP50Ms: (short?.total.getValueAtPercentile(50) ?? 0) - engineMs,
      addedP99Ms: (short?.total.getValueAtPercentile(99) ?? 0) - engineMs,
      cpuMsEach: Number((cpuEach * 1000).toFixed(3)),
      perSecondForACore: Math.round(1 / cpuEach),
      residentBytes: await getMetric(url, 'process_resident_memory_bytes'),
    };
  });
}
