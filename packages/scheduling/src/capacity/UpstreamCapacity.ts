/** How much work each upstream takes well, as far as it is known. */
export interface UpstreamCapacity {
  /** Gets the time that an upstream takes, as a multiple of that of its peers; 1 if not known. */
  getSlowdown(upstream: string): number;
  /** Gets the number of jobs that an upstream takes without slowing down; at most `slots`. */
  getLimit(upstream: string, slots: number): number;
}

/** Capacity of upstreams of which nothing is known. */
export const NEUTRAL_CAPACITY: UpstreamCapacity = {
  getSlowdown: () => 1,
  getLimit: (_upstream, slots) => slots,
};
