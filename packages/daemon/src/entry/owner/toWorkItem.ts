import type { WorkItem } from '@azurecart/scheduling';
import { PRIORITIES } from '@azurecart/protocol';
import type { Release } from '@azurecart/protocol';
import type { ReserveRequestInit } from './OwnerApi.js';

/** Converts a request for engine memory into a work item of the scheduler. */
export function toWorkItem(request: ReserveRequestInit, release: Release | undefined): WorkItem {
  const now = performance.now();
  const promptTokens = request.promptTokens ?? 0;
  return {
    id: request.requestId ?? '',
    customer: request.customer ?? '',
    weight: request.weight || 1,
    priority: PRIORITIES.find((priority) => priority === request.priority) ?? 'batch',
    model: request.model ?? '',
    promptTokens,
    maxTokens: request.maxTokens ?? 0,
    prefixes: request.prefixes ?? [],
    arrivedAt: now,
    dueAt: now + (request.deadlineMs ?? 0),
    queueLimitMs: request.queueLimitMs ?? 0,
    isLong: promptTokens >= (release?.routing.longTokens ?? Infinity),
    isResumed: request.resumed ?? false,
    avoidedEngines: request.avoidedUpstreams ?? [],
  };
}
