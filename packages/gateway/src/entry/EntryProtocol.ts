import type { IncomingHttpHeaders } from 'node:http';

/** Metadata that a client sends in the headers of a request. */
export interface RequestMetadata {
  /** Id of this attempt of the client, logged as `request`; upstreams echo it in the response. */
  clientAttemptId: string | undefined;
  /** Milliseconds for which the client waits for the response. */
  deadlineMs: number | undefined;
  /** API key of the customer. */
  key: string | undefined;
  /** Tokens of the prompt; undefined if the request does not state them. */
  promptTokens: number | undefined;
  /** Maximum number of tokens of the response. */
  maxOutputTokens: number | undefined;
  /** Id of the last event that the client received of a stream that it resumes. */
  lastEventId: string | undefined;
  /** Ids of the parts of the prompt that other requests may contain as well. */
  sharedParts: string[];
}

/** Metadata that the entry process adds to a request sent to an upstream. */
export interface UpstreamRequestMetadata {
  upstreamId: string;
  customer: string | undefined;
  remainingMs: number;
  lastEventId: string | undefined;
  /** 0 to 9; 0 is the most urgent. */
  priority: number | undefined;
  /** Upstreams that prefill parts of the prompt. */
  helpers: PrefillHelper[];
}

/** Description of a helper that is sent to the upstream which serves the prompt. */
export interface PrefillHelper {
  address: string;
  /** Id of the memory reservation on the upstream, if it keeps a part of the prompt. */
  ticket?: string;
}

/**
 * A command to an engine: reserves or releases memory for a prompt that spans several engines, or
 * requests a report, which shows that the engine is alive. `ticket` is the id of a reservation, and
 * `holdMs` its time to live in milliseconds.
 */
export type EngineCommand =
  | { kind: 'reserve'; ticket: string; tokens: number; holdMs: number }
  | { kind: 'release'; ticket: string }
  | { kind: 'report' };

/** The HTTP request that carries a command to an upstream. */
export interface EngineCommandRequest {
  method: string;
  path: string;
  headers: [string, string][];
  body: Buffer;
}

/** Metadata that an upstream sends in the headers of a response. */
export interface ResponseMetadata {
  clientAttemptId: string | undefined;
  /** True if the upstream states that it did not execute the request. */
  isNotExecuted: boolean;
  /** Id or address of the upstream because of which the request was not executed. */
  faultyUpstream: string | undefined;
  /** True if the response carries the upstream's signature. */
  isSigned: boolean;
  /**
   * Requests per second that the upstream accepts from all entry processes together, as long as its
   * responses say so; undefined if there is no limit.
   */
  requestsPerSecond: number | undefined;
  /** True if the upstream states that it leaves and accepts no further requests. */
  isLeaving: boolean;
  /** Milliseconds for which the upstream wants no requests from this process, if it states that. */
  retryAfterMs: number | undefined;
}

/** Adapter for the platform's protocols with clients, upstreams and the load balancer. */
export interface EntryProtocol {
  /** Parses the headers of a client's request. */
  parseRequestHeaders(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * Builds the headers for the upstream: the metadata, then the client's without reserved ones. The
   * metadata comes first, so that a limit of the upstream on headers cuts off those of the client.
   * @param clientHeaders - The end-to-end headers of the client's request.
   */
  buildRequestHeaders(
    clientHeaders: [string, string][],
    metadata: UpstreamRequestMetadata,
  ): [string, string][];
  /** Parses the status and headers of an upstream's response. */
  parseResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
  /** Builds the HTTP request for a command. */
  buildCommandRequest(upstreamId: string, command: EngineCommand): EngineCommandRequest;
  /** Lower-case names of headers that a `Connection` header does not make hop-by-hop. */
  readonly endToEndHeaders: ReadonlySet<string>;
  /** Path of the load balancer's readiness check. */
  readonly readinessPath: string;
}
