/** Budgets. */
export * from './RetryBudget.js';
