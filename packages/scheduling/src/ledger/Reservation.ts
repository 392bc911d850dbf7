import type { WorkPriority } from '../workload/index.js';

/** Engine memory reserved for a request. Times are monotonic milliseconds. */
export interface Reservation {
  /** Id of the work item, which is not the request id of the client. */
  request: string;
  tokens: number;
  /** Model in use; empty when the reservation was adopted from the engine's state. */
  model: string;
  customer: string;
  priority: WorkPriority;
  /** True on the engine that serves the request, false on those that only hold memory for it. */
  leads: boolean;
  isLong: boolean;
  /** Prompt tokens to prefill, excluding those found in the prefix cache. */
  prefillTokens: number;
  grantedAt: number;
  /** Latest time at which the request may start. */
  startBy: number;
  /** True once the engine has confirmed that it holds the memory. */
  isConfirmed: boolean;
  /** True once the entry process has reported the first output token. */
  isDecoding: boolean;
  /**
   * Session of the entry process that holds the grant; empty when adopted from the engine's state.
   */
  session: string;
  /** True when the request may be preempted by urgent work. */
  isPausable: boolean;
  /** True once a pause has been requested. */
  isPausing: boolean;
  /** Priority on the engine; lower numbers run first. */
  enginePriority: number;
  /** Predicted time in milliseconds from the grant to the first token; undefined if not known. */
  expectedMs?: number;
}
