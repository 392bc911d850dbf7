/** Exact accounting of engine memory. */
export * from './Engine.js';
export * from './Ledger.js';
export * from './LedgerFault.js';
export * from './Reservation.js';
