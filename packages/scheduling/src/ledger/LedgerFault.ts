/** A reservation that the ledger must not take. */
export class LedgerFault extends Error {
  override readonly name = 'LedgerFault';
}
