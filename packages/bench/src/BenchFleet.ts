import { join } from 'node:path';
import { Fleet, getFreePorts, getSampleRelease, hashApiKey } from '@azurecart/fakes';
import type { FleetOptions } from '@azurecart/fakes';

/** Scheduling policies that the benchmarks compare. */
export type Policy = 'baseline' | 'fair';

/** Options of the fleet that a benchmark runs on. */
export interface BenchFleetOptions {
  policy: Policy;
  /** Number of fake engines. */
  engines: number;
  /** Settings that override those of every fake engine. */
  engineOverrides?: Record<string, unknown>;
  /** Fields that override those of the sample release. */
  releaseOverrides?: Record<string, unknown>;
  /** Options that override those of the fleet. */
  fleetOverrides?: Partial<FleetOptions>;
}

/** Prefill speed of the fake engines, in prompt tokens per second. */
export const PREFILL_TOKENS_PER_SECOND = 50_000;

const DATA_CENTRE = 'trnava-a';

/** API keys of the sample customers, by priority. */
export const API_KEYS = {
  urgent: 'key-dispatch',
  standard: 'key-planning',
  batch: 'key-engineering',
};

/** Starts a small fleet, runs a benchmark on it, and stops the fleet. */
export async function withBenchFleet<T>(
  options: BenchFleetOptions,
  run: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = new Fleet({
    folder: join(process.cwd(), '.data', `bench-${process.pid}`),
    dataCentres: [DATA_CENTRE],
    controls: 1,
    entries: 2,
    entrySettings: { policy: options.policy, logLevel: 'warn' },
    ...options.fleetOverrides,
  });
  try {
    await fleet.start();
    await startEngines(fleet, options);
    await fleet.submit(getSampleRelease(1, options.releaseOverrides));
    await fleet.waitForReadyEngines('fitting-assist', options.engines);
    return await run(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Creates customers named `small-0`, `small-1` and so on, each with its own API key. */
export function createSmallCustomers(count: number, priority: string): Record<string, unknown>[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `small-${index}`,
    keyHashes: [hashApiKey(`key-small-${index}`)],
    priority,
  }));
}

async function startEngines(fleet: Fleet, options: BenchFleetOptions): Promise<void> {
  const ports = await getFreePorts(options.engines);
  for (const [index, port] of ports.entries()) {
    fleet.startUpstreams([
      {
        kind: 'engine',
        id: `engine-${index}`,
        pool: 'fitting-assist',
        dataCentre: DATA_CENTRE,
        port,
        prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
        chunkMs: 10,
        decodeStepMs: 5,
        ...options.engineOverrides,
      },
    ]);
  }
}
