/** A whole answer of an upstream. */
export interface WholeAnswer {
  status: number;
  headers: [string, string][];
  body: Buffer;
}

/** How one attempt at one upstream ended. */
export type AttemptOutcome =
  /** The client has the whole answer. */
  | { kind: 'done' }
  /** The upstream certainly did not run the request. */
  | {
      kind: 'notRun';
      reason: string;
      /** True when another upstream, or none, has the address. */
      isGone?: boolean;
      /** Id or address of the upstream that was the reason, as far as it was named. */
      faulty?: string;
    }
  /** The upstream ran it and answered with a failure of its own. */
  | { kind: 'failed'; reason: string; answer: WholeAnswer }
  /** It may have run, in part or whole. */
  | { kind: 'unknown'; reason: string }
  /** No upstream was tried. */
  | { kind: 'refused'; reason: string; retryAfterMs: number };
