import { z } from 'zod';

/** Whether a request ran: told to every client in the header `azurecart-outcome`. */
export const outcomeSchema = z.enum(['not-run', 'completed', 'unknown']);

/** Whether a request ran. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** Header that carries the outcome of a request. */
export const OUTCOME_HEADER = 'azurecart-outcome';
