import type { z } from 'zod';

/** A field that does not match its schema. */
export interface FieldError {
  /** Dotted path of the field; empty for the document itself. */
  path: string;
  message: string;
}

/** Thrown when a document does not match its schema. */
export class ValidationError extends Error {
  override readonly name = 'ValidationError';

  constructor(
    readonly document: string,
    readonly fields: FieldError[],
  ) {
    super(`${document}: ${fields.map(formatFieldError).join('; ')}`);
  }

  /** Creates the error from the issues that Zod reports. */
  static fromZodError(document: string, error: z.ZodError): ValidationError {
    const fields = error.issues.map((issue) => ({
      path: issue.path.join('.'),
      message: issue.message,
    }));
    return new ValidationError(document, fields);
  }
}

function formatFieldError({ path, message }: FieldError): string {
  return path ? `${path}: ${message}` : message;
}
