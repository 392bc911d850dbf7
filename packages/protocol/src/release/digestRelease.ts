import { createHash } from 'node:crypto';
import type { Release } from './releaseSchema.js';

/**
 * Gets the SHA-256 of a release with its keys sorted. Since defaults are already filled in,
 * releases with the same content have the same digest.
 */
export function digestRelease(release: Release): string {
  return createHash('sha256')
    .update(JSON.stringify(sortKeys(release)))
    .digest('hex');
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
}
