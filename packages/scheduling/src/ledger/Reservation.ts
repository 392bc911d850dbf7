import type { WorkPriority } from '../workload/index.js';

/** Memory of one engine that a request holds. */
export interface Reservation {
  /** Request that holds the memory. */
  request: string;
  tokens: number;
  /** Model in use; empty when adopted from the engine. */
  model: string;
  customer: string;
  priority: WorkPriority;
  /** True on the engine that processes the prompt. */
  leads: boolean;
  isLong: boolean;
  /** Prompt tokens to be processed, without those in the prefix cache. */
  prefillTokens: number;
  grantedAt: number;
  /** Time after which the request can no longer start. */
  startBy: number;
  /** True once the engine has named the request. */
  isSeen: boolean;
  /** True once the entry process has told that the answer's first token came. */
  isDecoding: boolean;
  /** Session of the entry process that holds the grant; empty when adopted from the engine. */
  session: string;
  /** True when the request may give way to urgent work. */
  isPausable: boolean;
  /** True once a pause was asked for. */
  isPausing: boolean;
  /** Engine priority of the grant: lower numbers run first. */
  enginePriority: number;
}
