import { z } from 'zod';

/** Whether a request was executed; sent to every client in the header `azurecart-outcome`. */
export const outcomeSchema = z.enum(['not-run', 'completed', 'unknown']);

/** Whether a request was executed. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** Response header with the outcome of a request. */
export const OUTCOME_HEADER = 'azurecart-outcome';
