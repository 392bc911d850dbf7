import type { IncomingHttpHeaders } from 'node:http';
import { getLowerPriority, PRIORITIES, prioritySchema } from '@azurecart/protocol';
import type { Customer, Priority, Release } from '@azurecart/protocol';
import { createBadRequest } from './apiFaults.js';

/** Under which priority a request runs, and by when. */
export interface RequestTerms {
  priority: Priority;
  /** Time for the whole answer, in milliseconds. */
  deadlineMs: number;
}

/** Header by which a client lowers the priority of a request. */
export const PRIORITY_HEADER = 'azurecart-priority';

/** Header by which a client states the time for the whole answer. */
export const DEADLINE_HEADER = 'azurecart-deadline-ms';

const LONGEST_DEADLINE_MS = 3_600_000;

/**
 * Gets the terms of a request. A client may lower its customer's priority and never raise it.
 * @throws ApiFault when a header does not make sense.
 */
export function getTerms(
  headers: IncomingHttpHeaders,
  customer: Customer,
  release: Release,
): RequestTerms {
  const priority = getLowerPriority(customer.priority, getWantedPriority(headers, customer));
  return { priority, deadlineMs: getDeadline(headers) ?? release.priorities[priority].deadlineMs };
}

function getWantedPriority(headers: IncomingHttpHeaders, customer: Customer): Priority {
  const text = headers[PRIORITY_HEADER];
  if (text === undefined) return customer.priority;
  const parsed = prioritySchema.safeParse(text);
  if (parsed.success) return parsed.data;
  throw createBadRequest(`${PRIORITY_HEADER} must be one of ${PRIORITIES.join(', ')}`);
}

function getDeadline(headers: IncomingHttpHeaders): number | undefined {
  const text = headers[DEADLINE_HEADER];
  if (text === undefined) return undefined;
  const value = Number(text);
  if (Number.isInteger(value) && value >= 1 && value <= LONGEST_DEADLINE_MS) return value;
  throw createBadRequest(`${DEADLINE_HEADER} must be 1 to ${LONGEST_DEADLINE_MS} milliseconds`);
}
