import { createHash } from 'node:crypto';

/** Gets the hash of an API key that releases contain. */
export function hashApiKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
