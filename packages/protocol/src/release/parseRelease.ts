import { parseDocument } from '../errors/index.js';
import { releaseSchema } from './releaseSchema.js';
import type { Release } from './releaseSchema.js';

/**
 * Parses the JSON text of a release.
 * @throws ValidationError that lists the invalid fields found. Contradictions between fields are
 * checked only when each field by itself is valid.
 */
export function parseRelease(text: string): Release {
  return parseDocument(releaseSchema, text, 'release');
}
