import type { UpstreamRecord } from '@azurecart/discovery';
import type { JobEnding } from '@azurecart/scheduling';
import type { Route } from '../configuration/index.js';

/** A request that needs an upstream. */
export interface PlacementRequest {
  requestId: string;
  service: string;
  route: Route;
  /** Tokens of the prompt; 0 for requests without one. */
  promptTokens: number;
  answerTokens: number;
  /** Milliseconds left of the time that the client waits. */
  remainingMs: number;
  /** Milliseconds since the request came. */
  waitedMs: number;
  priority: number;
  customer: string | undefined;
  /** Upstreams that this request has failed on. */
  excluded: Set<string>;
}

/** An upstream that reads a part of the prompt. */
export interface PlacedHelper {
  upstream: UpstreamRecord;
  /** Tokens that it keeps until the answer ends; 0 for none. */
  heldTokens: number;
}

/** Where a request goes, or why it goes nowhere. */
export type Placement =
  | {
      kind: 'placed';
      upstream: UpstreamRecord;
      helpers: PlacedHelper[];
      jobId?: string;
      /** Milliseconds after which the scheduler expects the first event. */
      expectedMs?: number;
      /** True when a scheduler that sees all requests decided it. */
      isScheduled?: boolean;
    }
  | { kind: 'refused'; reason: string; retryAfterMs: number };

/** What is told of a placed request while it runs. */
export interface Reservation {
  /** The first event or the answer has come. */
  addProgress(): void;
  /**
   * The request has ended at the upstream.
   * @param culprit - Id of the upstream at fault when it is a helper.
   */
  release(ending: JobEnding, culprit?: string): void;
}

/** Decides where requests go. */
export interface Placer {
  place(request: PlacementRequest, signal: AbortSignal): Promise<Placement>;
  /** Counts a placed request until it is released. */
  reserve(
    request: PlacementRequest,
    upstream: UpstreamRecord,
    jobId: string | undefined,
  ): Reservation;
}
