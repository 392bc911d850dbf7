/**
 * A rate that an upstream accepts from all processes together, as processes exchange it. It contains
 * an age instead of a time, because the monotonic clocks of processes differ.
 */
export interface RateLimit {
  upstream: string;
  /** Start of the upstream in Unix milliseconds; identifies its incarnation. */
  bornAt: number;
  /** Undefined if the upstream has lifted the limit. */
  requestsPerSecond?: number;
  /** Milliseconds since a response named the limit, or was the first without it. */
  ageMs: number;
}
