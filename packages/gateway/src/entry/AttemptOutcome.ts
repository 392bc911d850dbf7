/** A complete response of an upstream, held in memory. */
export interface BufferedResponse {
  status: number;
  headers: [string, string][];
  body: Buffer;
}

/** The outcome of one attempt at one upstream. */
export type AttemptOutcome =
  /** The complete response was passed on to the client. */
  | { kind: 'done' }
  /** The upstream certainly did not execute the request. */
  | {
      kind: 'notRun';
      reason: string;
      /** True if no upstream, or another one, answers at the address. */
      isUnreachable?: boolean;
      /** Id or address of the upstream because of which it was not executed, if stated. */
      faultyUpstream?: string;
    }
  /** The upstream executed the request and returned an error response. */
  | { kind: 'failed'; reason: string; response: BufferedResponse }
  /** The upstream may have executed the request, partly or completely. */
  | { kind: 'unknown'; reason: string }
  /** The placer found no upstream for the request. */
  | { kind: 'refused'; reason: string; retryAfterMs: number };
