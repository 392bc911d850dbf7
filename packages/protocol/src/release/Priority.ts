import { z } from 'zod';

/** Priorities, the first one served first. */
export const PRIORITIES = ['urgent', 'standard', 'batch'] as const;

export const prioritySchema = z.enum(PRIORITIES);

/** How urgent a request is. */
export type Priority = z.infer<typeof prioritySchema>;

/** Gets the lower of two priorities. */
export function getLowerPriority(a: Priority, b: Priority): Priority {
  return PRIORITIES.indexOf(a) > PRIORITIES.indexOf(b) ? a : b;
}
