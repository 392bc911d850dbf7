/** Retry budgets. */
export * from './RetryBudget.js';
