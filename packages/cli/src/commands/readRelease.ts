import { readFile } from 'node:fs/promises';
import { parseRelease, ValidationError } from '@azurecart/protocol';
import type { Release } from '@azurecart/protocol';
import { CommandError, ExitCode } from '../CommandError.js';

/**
 * Reads and validates a release file.
 * @throws CommandError that lists the invalid fields found, or the file system error if the file
 * cannot be read.
 */
export async function readRelease(file: string): Promise<Release> {
  const text = await readFile(file, 'utf8');
  try {
    return parseRelease(text);
  } catch (error) {
    if (!(error instanceof ValidationError)) throw error;
    const lines = error.fields.map(({ path, message }) => `  ${path || 'document'}: ${message}`);
    throw new CommandError(
      [`${file} is not a valid release:`, ...lines].join('\n'),
      ExitCode.invalid,
    );
  }
}
