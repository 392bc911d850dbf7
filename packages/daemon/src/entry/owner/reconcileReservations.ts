import type { Engine, Reservation } from '@azurecart/scheduling';
import type { EngineState } from '@azurecart/protocol';

export interface ReconciliationInput {
  engine: Engine;
  state: EngineState;
  /** Monotonic time at which the state was requested. */
  requestedAt: number;
}

/** Memory that an engine reports as held but for which the ledger has no reservation. */
export interface UnreservedMemory {
  request: string;
  tokens: number;
  leads: boolean;
}

/** A reservation not reported by the engine this long after `startBy` counts as never sent. */
const START_GRACE_MS = 1000;

/**
 * Updates the ledger from the memory that an engine reports as held.
 * @returns Memory that had no reservation; the ledger now has one for each.
 */
export function reconcileReservations({
  engine,
  state,
  requestedAt,
}: ReconciliationInput): UnreservedMemory[] {
  const held = new Map(state.held.map((item) => [item.request, item]));
  for (const reservation of engine.getReservations()) {
    if (held.has(reservation.request)) Object.assign(reservation, { isConfirmed: true });
    else if (hasEnded(reservation, requestedAt)) engine.removeReservation(reservation.request);
  }
  const unreserved = state.held.filter((item) => !engine.getReservation(item.request));
  unreserved.forEach((item) => engine.adoptReservation(toReservation(item, requestedAt)));
  return unreserved;
}

/** Whether a reservation that the engine does not report has ended or can no longer start. */
function hasEnded(reservation: Reservation, requestedAt: number): boolean {
  if (reservation.isConfirmed) return true;
  return requestedAt > reservation.startBy + START_GRACE_MS;
}

/** Creates a reservation; what the engine does not report, such as the customer, gets defaults. */
function toReservation(memory: UnreservedMemory, requestedAt: number): Reservation {
  return {
    request: memory.request,
    tokens: memory.tokens,
    model: '',
    customer: '',
    priority: 'standard',
    leads: memory.leads,
    isLong: false,
    prefillTokens: 0,
    grantedAt: requestedAt,
    startBy: requestedAt,
    isConfirmed: true,
    isDecoding: true,
    session: '',
    isPausable: false,
    isPausing: false,
    enginePriority: 0,
  };
}
