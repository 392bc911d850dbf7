import { digestRelease } from '@azurecart/protocol';
import { print } from '../output/print.js';
import type { PrintOptions } from '../output/print.js';
import { readRelease } from './readRelease.js';

/** Checks a release file without sending it anywhere. */
export async function checkRelease(file: string, options: PrintOptions): Promise<void> {
  const release = await readRelease(file);
  const digest = digestRelease(release);
  const { number, models, customers, services } = release;
  const counts = `${models.length} models, ${customers.length} customers, ${services.length} services`;
  print({ number, digest }, [`release ${number} is good: ${counts}`, `digest ${digest}`], options);
}
