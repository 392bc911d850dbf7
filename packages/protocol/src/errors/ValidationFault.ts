import type { z } from 'zod';

/** One field that does not fit its schema. */
export interface FieldFault {
  /** Dotted path of the field; empty for the document itself. */
  path: string;
  message: string;
}

/** A document does not fit its schema. */
export class ValidationFault extends Error {
  override readonly name = 'ValidationFault';

  constructor(
    readonly document: string,
    readonly fields: FieldFault[],
  ) {
    super(`${document}: ${fields.map(formatField).join('; ')}`);
  }

  /** Creates the error from what the schema library found. */
  static fromIssues(document: string, error: z.ZodError): ValidationFault {
    const fields = error.issues.map((issue) => ({
      path: issue.path.join('.'),
      message: issue.message,
    }));
    return new ValidationFault(document, fields);
  }
}

function formatField({ path, message }: FieldFault): string {
  return path ? `${path}: ${message}` : message;
}
