/** Announcement of an upstream, or its last known data once it has left. */
export interface Announcement {
  /** Identity of the upstream; usually, but not always, new with each start. */
  id: string;
  /** Unix time in milliseconds at which the upstream started; identifies its incarnation. */
  bornAt: number;
  /** Sequence number of the announcement within its incarnation. */
  sequence: number;
  service: string;
  /** `host:port` at which the upstream accepts requests. */
  address: string;
  dataCentre: string;
  /** Number of requests that the upstream processes concurrently. */
  capacity: number;
  state: UpstreamState;
}

/**
 * State of an upstream. Records with the state `gone` are kept as tombstones, so that a delayed
 * announcement does not make the upstream available again.
 */
export type UpstreamState = 'ready' | 'draining' | 'gone';

/** Tells whether an announcement was made after a known one of the same upstream. */
export function isNewer(
  candidate: Pick<Announcement, 'bornAt' | 'sequence'>,
  known: Pick<Announcement, 'bornAt' | 'sequence'>,
): boolean {
  if (candidate.bornAt !== known.bornAt) return candidate.bornAt > known.bornAt;
  return candidate.sequence > known.sequence;
}
