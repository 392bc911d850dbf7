import type { ApiError } from './ApiError.js';

/** Writes the completion of one prompt to its client. */
export interface ResponseWriter {
  /** Writes a piece of text; resolves when more can be written. */
  write(text: string): Promise<void>;
  /** Ends a complete response. */
  finish(reason: string, usage: TokenUsage): void;
  /** Ends an incomplete response with an error. */
  fail(error: ApiError): void;
}

export interface TokenUsage {
  promptTokens: number;
  completionTokens: number;
}
