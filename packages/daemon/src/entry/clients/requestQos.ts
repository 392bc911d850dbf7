import type { IncomingHttpHeaders } from 'node:http';
import { getLowerPriority, PRIORITIES, prioritySchema } from '@azurecart/protocol';
import type { Customer, Priority, Release } from '@azurecart/protocol';
import { createBadRequest } from './apiErrors.js';

/** Priority and deadline of a request. */
export interface RequestQos {
  priority: Priority;
  /** Time in which the response must be complete, in milliseconds. */
  deadlineMs: number;
}

/** Header with which a client lowers the priority of a request. */
export const PRIORITY_HEADER = 'azurecart-priority';

/** Header with which a client sets the time in which the response must be complete. */
export const DEADLINE_HEADER = 'azurecart-deadline-ms';

const MAX_DEADLINE_MS = 3_600_000;

/**
 * Gets the priority and deadline of a request. A client can lower the priority of its customer but
 * not raise it.
 * @throws ApiError when a header is invalid.
 */
export function getRequestQos(
  headers: IncomingHttpHeaders,
  customer: Customer,
  release: Release,
): RequestQos {
  const priority = getLowerPriority(customer.priority, getRequestedPriority(headers, customer));
  return {
    priority,
    deadlineMs: getRequestedDeadlineMs(headers) ?? release.priorities[priority].deadlineMs,
  };
}

function getRequestedPriority(headers: IncomingHttpHeaders, customer: Customer): Priority {
  const text = headers[PRIORITY_HEADER];
  if (text === undefined) return customer.priority;
  const parsed = prioritySchema.safeParse(text);
  if (parsed.success) return parsed.data;
  throw createBadRequest(`${PRIORITY_HEADER} must be one of ${PRIORITIES.join(', ')}`);
}

function getRequestedDeadlineMs(headers: IncomingHttpHeaders): number | undefined {
  const text = headers[DEADLINE_HEADER];
  if (text === undefined) return undefined;
  const value = Number(text);
  if (Number.isInteger(value) && value >= 1 && value <= MAX_DEADLINE_MS) return value;
  throw createBadRequest(`${DEADLINE_HEADER} must be 1 to ${MAX_DEADLINE_MS} milliseconds`);
}
