import { createHash } from 'node:crypto';

/** Gets the hash under which a release names an API key. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
