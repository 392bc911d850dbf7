import { parseDocument } from '../errors/index.js';
import { releaseSchema } from './releaseSchema.js';
import type { Release } from './releaseSchema.js';

/**
 * Parses the JSON text of a release.
 * @throws ValidationError that lists each invalid field.
 */
export function parseRelease(text: string): Release {
  return parseDocument(releaseSchema, text, 'release');
}
