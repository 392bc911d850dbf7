import { digestRelease } from '@azurecart/protocol';
import { printResult } from '../output/printResult.js';
import type { PrintOptions } from '../output/printResult.js';
import { readRelease } from './readRelease.js';

/** Validates a release file without submitting it. */
export async function checkRelease(file: string, options: PrintOptions): Promise<void> {
  const release = await readRelease(file);
  const digest = digestRelease(release);
  const { number, models, customers, services } = release;
  const counts = `${models.length} models, ${customers.length} customers, ${services.length} services`;
  printResult(
    { number, digest },
    [`release ${number} is good: ${counts}`, `digest ${digest}`],
    options,
  );
}
