import type { Engine, Ledger, Reservation } from '../ledger/index.js';
import { getMemoryTokens } from '../workload/index.js';
import type { WorkItem } from '../workload/index.js';
import type { Victim } from './Scheduler.js';

/**
 * Finds the engine on which the fewest batch reservations must be paused to fit a work item, and
 * those reservations. Returns none when the work item already fits on an engine and only the
 * backlog delays its placement.
 */
export function findVictims(work: WorkItem, ledger: Ledger): Victim[] {
  const tokens = getMemoryTokens(work);
  const engines = ledger.getUsableEngines(work);
  if (engines.some((engine) => hasRoom(engine, tokens))) return [];
  const plans = engines
    .map((engine) => planPreemption(engine, tokens))
    .filter((plan) => plan !== undefined);
  const [best] = plans.sort((a, b) => a.length - b.length);
  return best ?? [];
}

function planPreemption(engine: Engine, tokens: number): Victim[] | undefined {
  const reservations = engine.getReservations();
  if (reservations.some((reservation) => reservation.isPausing)) return undefined;
  const batch = reservations.filter(isPausable).sort((a, b) => b.tokens - a.tokens);
  const victims: Victim[] = [];
  let free = engine.freeTokens;
  let slots = engine.capacity.maxBatch - engine.runningCount;
  for (const reservation of batch) {
    if (free >= tokens && slots > 0) break;
    victims.push({ engine, reservation });
    free += reservation.tokens;
    slots += 1;
  }
  return free >= tokens && slots > 0 && victims.length > 0 ? victims : undefined;
}

function hasRoom(engine: Engine, tokens: number): boolean {
  return engine.freeTokens >= tokens && engine.runningCount < engine.capacity.maxBatch;
}

function isPausable(reservation: Reservation): boolean {
  return reservation.isPausable && reservation.leads && reservation.isConfirmed;
}
