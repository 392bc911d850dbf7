import {
  generateArrivals,
  Random,
  runLoad,
  getMaxMetric,
  getUnreleasedTokens,
  getMetricSum,
} from '@azurecart/fakes';
import type { RequestStream } from '@azurecart/fakes';
import type { Bench, BenchOptions } from '../Bench.js';
import { API_KEYS, PREFILL_TOKENS_PER_SECOND, withBenchFleet } from '../BenchFleet.js';

const ENGINES = 6;
const LONGEST_PROMPT_TOKENS = 1_000_000;
const SHORT_LOAD_FACTOR = 0.2;
const SHORT_PROMPT_TOKENS: [number, number] = [1000, 3000];
/** Mean of the prompt lengths, from which the request rate is derived. */
const MEAN_SHORT_PROMPT_TOKENS = 2000;

/** Prompts of a million tokens, over twice the KV cache of one engine, beside short prompts. */
export const longest: Bench = {
  name: 'longest',
  summary: 'prompts of a million tokens beside short prompts',
  policies: ['baseline', 'fair'],
  run,
};

async function run({ policy, seed, seconds }: BenchOptions): Promise<Record<string, unknown>> {
  return withBenchFleet({ policy, engines: ENGINES }, async (fleet) => {
    const toMs = seconds * 1000;
    const short: RequestStream = {
      group: 'short',
      key: API_KEYS.urgent,
      perSecond:
        (SHORT_LOAD_FACTOR * ENGINES * PREFILL_TOKENS_PER_SECOND) / MEAN_SHORT_PROMPT_TOKENS,
      fromMs: 0,
      toMs,
      promptTokens: SHORT_PROMPT_TOKENS,
      maxTokens: 20,
    };
    const long: RequestStream = {
      group: 'longest',
      key: API_KEYS.batch,
      perSecond: 0.2,
      fromMs: 0,
      toMs,
      promptTokens: [LONGEST_PROMPT_TOKENS, LONGEST_PROMPT_TOKENS],
      maxTokens: 20,
      headers: { 'azurecart-deadline-ms': '120000' },
    };
    const random = new Random(seed);
    const arrivals = generateArrivals([short, long], random);
    const results = await runLoad(arrivals, fleet.entryUrls, random);
    return {
      short: results.get('short')?.toJson(),
      longest: results.get('longest')?.toJson(),
      loopDelayP99Ms: Number((await getMaxMetric(fleet, 'azurecart_loop_delay_p99_ms')).toFixed(2)),
      loopDelayMaxMs: Number((await getMaxMetric(fleet, 'azurecart_loop_delay_max_ms')).toFixed(2)),
      reservedAfterQuiet: await getUnreleasedTokens(fleet),
      violations: await getMetricSum(fleet, 'azurecart_invariant_violations_total'),
      target:
        'all complete or are refused, loop delay p99 at most 20 ms, no tokens reserved afterwards',
    };
  });
}
