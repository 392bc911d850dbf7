import type { UpstreamRecord } from '@azurecart/discovery';
import type { JobEnding } from '@azurecart/scheduling';
import type { Route } from '../configuration/index.js';

/** A request that is to be placed on an upstream. */
export interface PlacementRequest {
  /** Id of this attempt of the client; empty if the client sent none. */
  clientAttemptId: string;
  service: string;
  route: Route;
  /** Tokens of the prompt; 0 for requests without one. */
  promptTokens: number;
  maxOutputTokens: number;
  /** Milliseconds until the client's deadline. */
  remainingMs: number;
  /** Milliseconds until the client leaves unless an event arrives; undefined if not known. */
  patienceMs?: number;
  /** True if the client has received a part of the stream. */
  isResumption?: boolean;
  /** Milliseconds since the request arrived. */
  waitedMs: number;
  priority: number;
  customer: string | undefined;
  /** Parts of the prompt that other prompts may contain as well, in terms of findings. */
  parts: string[];
  /** Ids of upstreams that have been tried for this request or were named as faulty helpers. */
  excluded: Set<string>;
}

/** A helper, which prefills a part of the prompt, with the size of the part that it keeps. */
export interface PlacedHelper {
  upstream: UpstreamRecord;
  /** Tokens that it keeps in its key-value cache until the response ends; 0 for none. */
  heldTokens: number;
}

/** The upstream chosen for a request, or the reason why there is none. */
export type Placement =
  | {
      kind: 'placed';
      upstream: UpstreamRecord;
      helpers: PlacedHelper[];
      jobId?: string;
      /** The scheduler's estimate of the time to the first event in milliseconds. */
      expectedMs?: number;
      /** True if a scheduler, which sees the requests of all entry processes, decided it. */
      isScheduled?: boolean;
    }
  | { kind: 'refused'; reason: string; retryAfterMs: number };

/** Receives the progress and the end of a placed request. */
export interface PlacementHandle {
  /** Reports that an event has arrived; the placer needs to know of the first one. */
  reportProgress(): void;
  /**
   * Reports that the request has ended on the upstream.
   * @param faultyHelperId - Id of the upstream at fault if it is a helper.
   */
  release(ending: JobEnding, faultyHelperId?: string): void;
}

/** Selects upstreams for requests. */
export interface Placer {
  place(request: PlacementRequest, signal: AbortSignal): Promise<Placement>;
  /** Counts a placed request as in flight until its handle is released. */
  track(
    request: PlacementRequest,
    upstream: UpstreamRecord,
    jobId: string | undefined,
  ): PlacementHandle;
}
