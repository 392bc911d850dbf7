/** Thrown when a reservation is a duplicate or exceeds the free memory of an engine. */
export class LedgerError extends Error {
  override readonly name = 'LedgerError';
}
