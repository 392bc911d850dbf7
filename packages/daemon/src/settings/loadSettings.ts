import { readFile } from 'node:fs/promises';
import { parseDocument } from '@azurecart/protocol';
import { settingsSchema } from './settingsSchema.js';
import type { Settings } from './settingsSchema.js';

/**
 * Loads the settings of a process from a JSON file.
 * @throws ValidationFault that names each invalid field.
 */
export async function loadSettings(file: string): Promise<Settings> {
  return parseDocument(settingsSchema, await readFile(file, 'utf8'), `settings ${file}`);
}
