import { z } from 'zod';

/**
 * Whether a request was executed: `completed` if it was, `not-run` if it was not, `unknown` if it may
 * have been. Sent to clients in the header `azurecart-outcome`, or in the trailer of a stream.
 */
export const outcomeSchema = z.enum(['not-run', 'completed', 'unknown']);

/** Whether a request was executed. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** Response header or trailer with the outcome of a request. */
export const OUTCOME_HEADER = 'azurecart-outcome';
