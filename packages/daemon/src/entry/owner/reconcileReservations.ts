import type { Engine, Reservation } from '@azurecart/scheduling';
import type { EngineState } from '@azurecart/protocol';

export interface ReconciliationInput {
  engine: Engine;
  state: EngineState;
  /** Monotonic time at which the state was requested. */
  requestedAt: number;
}

/** Memory that an engine reports as held but for which the ledger has no reservation. */
export interface Orphan {
  request: string;
  tokens: number;
  leads: boolean;
}

/**
 * Time after its latest start at which a reservation that the engine has never reported is taken
 * for one whose request was never sent.
 */
const START_GRACE_MS = 1000;

/**
 * Updates the ledger from the memory that an engine reports as held.
 * @returns Memory that had no reservation; the ledger now has one for each.
 */
export function reconcileReservations({
  engine,
  state,
  requestedAt,
}: ReconciliationInput): Orphan[] {
  const held = new Map(state.held.map((item) => [item.request, item]));
  for (const reservation of engine.getReservations()) {
    if (held.has(reservation.request)) Object.assign(reservation, { isConfirmed: true });
    else if (hasEnded(reservation, requestedAt)) engine.removeReservation(reservation.request);
  }
  const orphans = state.held.filter((item) => !engine.getReservation(item.request));
  orphans.forEach((orphan) => engine.adoptReservation(toReservation(orphan, requestedAt)));
  return orphans;
}

/** Whether a reservation that the engine does not report has ended or can no longer start. */
function hasEnded(reservation: Reservation, requestedAt: number): boolean {
  if (reservation.isConfirmed) return true;
  return requestedAt > reservation.startBy + START_GRACE_MS;
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
    isConfirmed: true,
    isDecoding: true,
    session: '',
    isPausable: false,
    isPausing: false,
    enginePriority: 0,
  };
}
