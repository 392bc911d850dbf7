/**
 * Leadership was lost, the replica was stopped or its storage failed before a proposal was
 * committed, so it may or may not take effect later.
 */
export class OutcomeUnknownError extends Error {
  override readonly name = 'OutcomeUnknownError';
}
