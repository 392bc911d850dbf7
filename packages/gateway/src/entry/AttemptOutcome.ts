/** A complete response of an upstream, held in memory. */
export interface BufferedResponse {
  status: number;
  headers: [string, string][];
  body: Buffer;
}

/** The outcome of one attempt at one upstream. */
export type AttemptOutcome =
  /**
   * The complete response, which may have a 4xx status, was relayed to the client. If an earlier
   * attempt had begun a stream and this one returned a buffered response, the connection to the
   * client was destroyed.
   */
  | { kind: 'done' }
  /** The upstream certainly did not execute the request. */
  | {
      kind: 'notRun';
      reason: string;
      /** True if the address does not respond or now belongs to another upstream. */
      isUnreachable?: boolean;
      /** Id or address of the upstream because of which it was not executed, if stated. */
      faultyUpstream?: string;
    }
  /** The upstream returned a 5xx status other than 503; it may have executed the request. */
  | { kind: 'failed'; reason: string; response: BufferedResponse }
  /** The upstream may have executed the request, partly or completely. */
  | { kind: 'unknown'; reason: string }
  /** The placer found no upstream, or a scheduler refused the request, for example on overload. */
  | { kind: 'refused'; reason: string; retryAfterMs: number };
