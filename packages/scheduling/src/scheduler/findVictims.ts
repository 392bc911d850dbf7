import type { Engine, Ledger, Reservation } from '../ledger/index.js';
import { getMemoryTokens } from '../work/index.js';
import type { Work } from '../work/index.js';
import type { Victim } from './Scheduler.js';

/** Finds the smallest set of batch reservations on one engine whose end makes room for a work. */
export function findVictims(work: Work, ledger: Ledger): Victim[] {
  const plans = ledger
    .getServing(work.model)
    .map((engine) => getPlan(engine, getMemoryTokens(work)))
    .filter((plan) => plan !== undefined);
  const [best] = plans.sort((a, b) => a.length - b.length);
  return best ?? [];
}

function getPlan(engine: Engine, tokens: number): Victim[] | undefined {
  const reservations = engine.getReservations();
  if (reservations.some((reservation) => reservation.isPausing)) return undefined;
  const batch = reservations.filter(isPausable).sort((a, b) => b.tokens - a.tokens);
  const victims: Victim[] = [];
  let free = engine.freeTokens;
  let slots = engine.capacity.maxBatch - engine.running;
  for (const reservation of batch) {
    if (free >= tokens && slots > 0) break;
    victims.push({ engine, reservation });
    free += reservation.tokens;
    slots += 1;
  }
  return free >= tokens && slots > 0 && victims.length > 0 ? victims : undefined;
}

function isPausable(reservation: Reservation): boolean {
  return reservation.priority === 'batch' && reservation.leads && reservation.isSeen;
}
