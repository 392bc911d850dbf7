/** Accounting of engine memory. */
export * from './Engine.js';
export * from './Ledger.js';
export * from './LedgerError.js';
export * from './Reservation.js';
