import type { ApiFault } from './ApiFault.js';

/** Writes the answer of one prompt to its client. */
export interface AnswerWriter {
  /** Writes a piece of text; resolves when the client takes more. */
  write(text: string): Promise<void>;
  /** Ends a whole answer. */
  finish(reason: string, usage: Usage): void;
  /** Ends with an error, in place of the rest of the answer. */
  fail(fault: ApiFault): void;
}

/** Tokens used by a request. */
export interface Usage {
  promptTokens: number;
  answerTokens: number;
}
