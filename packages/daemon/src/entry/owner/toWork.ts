import type { Work } from '@azurecart/scheduling';
import { PRIORITIES } from '@azurecart/protocol';
import type { Release } from '@azurecart/protocol';
import type { ReserveCall } from './OwnerCalls.js';

/** Turns a call for memory into a work of the scheduler. */
export function toWork(call: ReserveCall, release: Release | undefined): Work {
  const now = performance.now();
  const promptTokens = call.promptTokens ?? 0;
  return {
    id: call.requestId ?? '',
    customer: call.customer ?? '',
    weight: call.weight || 1,
    priority: PRIORITIES.find((priority) => priority === call.priority) ?? 'batch',
    model: call.model ?? '',
    promptTokens,
    maxTokens: call.maxTokens ?? 0,
    prefixes: call.prefixes ?? [],
    arrivedAt: now,
    dueAt: now + (call.deadlineMs ?? 0),
    queueLimitMs: call.queueLimitMs ?? 0,
    isLong: promptTokens >= (release?.routing.longTokens ?? Infinity),
    isResumed: call.resumed ?? false,
    avoided: call.avoidedUpstreams ?? [],
  };
}
