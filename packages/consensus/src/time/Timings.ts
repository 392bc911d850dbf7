/** Timing parameters of the protocol, measured with the monotonic clock. */
export interface Timings {
  heartbeatMs: number;
  /** A follower starts an election between one and two timeouts after the last leader contact. */
  electionTimeoutMs: number;
  rpcTimeoutMs: number;
  /** Fraction of the election timeout for which a quorum contact keeps the leader lease valid. */
  leaseShare: number;
  /**
   * Time without contact after which the leader removes a learner, or replaces a voter by a learner
   * that has caught up.
   */
  memberTimeoutMs: number;
}

/** Timing parameters for replicas with a network latency of a few milliseconds. */
export const DEFAULT_TIMINGS: Timings = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
  rpcTimeoutMs: 500,
  leaseShare: 0.8,
  memberTimeoutMs: 2000,
};
