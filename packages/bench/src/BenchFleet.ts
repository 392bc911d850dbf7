import { join } from 'node:path';
import { Fleet, getFreePorts, getSampleRelease, hashKey } from '@azurecart/fakes';
import type { FleetOptions } from '@azurecart/fakes';

/** Scheduling policies that benches compare. */
export type Policy = 'baseline' | 'fair';

/** What a bench needs of its fleet. */
export interface BenchFleetOptions {
  policy: Policy;
  engines: number;
  engine?: Record<string, unknown>;
  release?: Record<string, unknown>;
  fleet?: Partial<FleetOptions>;
}

/** Speed of the benches' engines, in prompt tokens a second. */
export const PREFILL_TOKENS_PER_SECOND = 50_000;

const DATA_CENTRE = 'trnava-a';

/** API keys of the benches, one for each customer. */
export const KEYS = {
  urgent: 'key-dispatch',
  standard: 'key-planning',
  batch: 'key-engineering',
};

/** Starts a small fleet for a bench, runs it, and ends the fleet. */
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
    ...options.fleet,
  });
  try {
    await fleet.start();
    await startEngines(fleet, options);
    await fleet.submit(getSampleRelease(1, options.release));
    await fleet.waitForModel('fitting-assist', options.engines);
    return await run(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Gets customers `small-0` and on, beside those of the sample release. */
export function createCustomers(count: number, priority: string): Record<string, unknown>[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `small-${index}`,
    keyHashes: [hashKey(`key-small-${index}`)],
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
        ...options.engine,
      },
    ]);
  }
}
