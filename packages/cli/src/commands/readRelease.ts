import { readFile } from 'node:fs/promises';
import { parseRelease, ValidationFault } from '@azurecart/protocol';
import type { Release } from '@azurecart/protocol';
import { CommandFault, ExitCode } from '../CommandFault.js';

/**
 * Reads and checks a release file.
 * @throws CommandFault naming each field that does not fit.
 */
export async function readRelease(file: string): Promise<Release> {
  const text = await readFile(file, 'utf8');
  try {
    return parseRelease(text);
  } catch (error) {
    if (!(error instanceof ValidationFault)) throw error;
    const lines = error.fields.map(({ path, message }) => `  ${path || 'document'}: ${message}`);
    throw new CommandFault([`${file} is not a release:`, ...lines].join('\n'), ExitCode.invalid);
  }
}
