import { readFile } from 'node:fs/promises';
import { parseDocument } from '@azurecart/protocol';
import { settingsSchema } from './settingsSchema.js';
import type { Settings } from './settingsSchema.js';

/**
 * Loads the settings of a process from a JSON file.
 * @throws ValidationError that names each invalid field.
 * @throws Error of the file system when the file cannot be read.
 */
export async function loadSettings(file: string): Promise<Settings> {
  return parseDocument(settingsSchema, await readFile(file, 'utf8'), `settings ${file}`);
}
