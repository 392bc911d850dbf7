/** What an upstream says of itself, or what was last known when it left. */
export interface Announcement {
  /** Identity of the upstream; mostly new with each start. */
  id: string;
  /** Unix time in milliseconds of the upstream's start: its incarnation. */
  bornAt: number;
  /** Counter of announcements within one incarnation. */
  sequence: number;
  service: string;
  /** `host:port` at which the upstream takes requests. */
  address: string;
  dataCentre: string;
  /** Requests that the upstream works on at the same time. */
  capacity: number;
  state: UpstreamState;
}

/** `gone` is kept as a tombstone, so that an older announcement does not bring the upstream back. */
export type UpstreamState = 'ready' | 'draining' | 'gone';

/** Compares the order in which an upstream said two things of itself. */
export function isNewer(
  candidate: Pick<Announcement, 'bornAt' | 'sequence'>,
  known: Pick<Announcement, 'bornAt' | 'sequence'>,
): boolean {
  if (candidate.bornAt !== known.bornAt) return candidate.bornAt > known.bornAt;
  return candidate.sequence > known.sequence;
}
