import { z } from 'zod';

/** Request priorities, highest first. */
export const PRIORITIES = ['urgent', 'standard', 'batch'] as const;

export const prioritySchema = z.enum(PRIORITIES);

/** Priority of a request. */
export type Priority = z.infer<typeof prioritySchema>;

export function getLowerPriority(a: Priority, b: Priority): Priority {
  return PRIORITIES.indexOf(a) > PRIORITIES.indexOf(b) ? a : b;
}
