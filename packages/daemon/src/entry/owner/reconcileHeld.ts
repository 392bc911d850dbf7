import type { Engine, Reservation } from '@azurecart/scheduling';
import type { EngineState } from '@azurecart/protocol';

/** What an engine's state is compared with. */
export interface HeldComparison {
  engine: Engine;
  state: EngineState;
  /** Monotonic time at which the state was asked for. */
  askedAt: number;
}

/** Memory that an engine holds and nobody in the ledger knew of. */
export interface Orphan {
  request: string;
  tokens: number;
  leads: boolean;
}

/** Time beyond its latest start after which an unseen request counts as never sent. */
const START_GRACE_MS = 1000;

/**
 * Brings the ledger in line with what an engine says it holds.
 * @returns The memory that was unknown; it is in the ledger from now on.
 */
export function reconcileHeld({ engine, state, askedAt }: HeldComparison): Orphan[] {
  const held = new Map(state.held.map((item) => [item.request, item]));
  for (const reservation of engine.getReservations()) {
    if (held.has(reservation.request)) Object.assign(reservation, { isSeen: true });
    else if (isOver(reservation, askedAt)) engine.removeReservation(reservation.request);
  }
  const orphans = state.held.filter((item) => !engine.getReservation(item.request));
  orphans.forEach((orphan) => engine.adoptReservation(toReservation(orphan, askedAt)));
  return orphans;
}

/** Tells whether a reservation that the engine does not name has ended, or can never start. */
function isOver(reservation: Reservation, askedAt: number): boolean {
  if (reservation.isSeen) return true;
  return askedAt > reservation.startBy + START_GRACE_MS;
}

function toReservation(orphan: Orphan, now: number): Reservation {
  return {
    request: orphan.request,
    tokens: orphan.tokens,
    model: '',
    customer: '',
    priority: 'standard',
    leads: orphan.leads,
    isLong: false,
    prefillTokens: 0,
    grantedAt: now,
    startBy: now,
    isSeen: true,
    isDecoding: true,
    session: '',
    isPausable: false,
    isPausing: false,
    enginePriority: 0,
  };
}
