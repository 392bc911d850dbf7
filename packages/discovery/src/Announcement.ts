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
  /**
   * Milliseconds for which the upstream stays cold from the announcement on, and bears few requests.
   * Processes of earlier versions do not name it.
   */
  coldMs?: number;
}

/**
 * State of an upstream. Records with the state `gone` are kept as tombstones, so that a delayed
 * announcement does not make the upstream available again.
 */
export type UpstreamState = 'ready' | 'draining' | 'gone';

/** Tells whether a state follows another one within an incarnation; states never go back. */
export function isLaterState(candidate: UpstreamState, known: UpstreamState): boolean {
  return STATE_ORDER.indexOf(candidate) > STATE_ORDER.indexOf(known);
}

const STATE_ORDER: UpstreamState[] = ['ready', 'draining', 'gone'];
