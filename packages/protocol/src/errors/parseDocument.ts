import type { z } from 'zod';
import { ValidationError } from './ValidationError.js';

/** Length at which an invalid value in an error message is truncated. */
const MAX_VALUE_LENGTH = 60;

/**
 * Parses JSON text against a schema.
 * @param document - Name of the document in error messages.
 * @throws ValidationError that lists the invalid fields found.
 */
export function parseDocument<T extends z.ZodType>(
  schema: T,
  text: string,
  document: string,
): z.output<T> {
  const result = schema.safeParse(parseJson(text, document), { error: describeIssue });
  if (!result.success) throw ValidationError.fromZodError(document, result.error);
  return result.data;
}

function parseJson(text: string, document: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ValidationError(document, [{ path: '', message: `not JSON: ${String(error)}` }]);
  }
}

function describeIssue(issue: z.core.$ZodRawIssue): string | undefined {
  if (issue.code !== 'invalid_type') return undefined;
  const found =
    issue.input === undefined ? 'nothing' : JSON.stringify(issue.input)?.slice(0, MAX_VALUE_LENGTH);
  return `expected ${issue.expected}, found ${found}`;
}
