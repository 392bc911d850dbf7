/** Time limits of the protocol, in milliseconds of the monotonic clock. */
export interface Timings {
  heartbeatMs: number;
  /** A follower campaigns between this and twice this time after it last heard from a leader. */
  electionTimeoutMs: number;
  rpcTimeoutMs: number;
  /** Share of the election timeout for which a leader trusts its last quorum contact. */
  leaseShare: number;
  /** Silence after which a learner that has caught up takes a voter's place. */
  memberSilenceMs: number;
}

/** Time limits for replicas a few milliseconds apart. */
export const DEFAULT_TIMINGS: Timings = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
  rpcTimeoutMs: 500,
  leaseShare: 0.8,
  memberSilenceMs: 2000,
};
