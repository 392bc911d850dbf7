import { Engine, Ledger } from '../src/index.js';
import type { Reservation, WorkItem } from '../src/index.js';

let count = 0;

/** Creates a work item with a prompt of 1,000 tokens. */
export function createWorkItem(changes: Partial<WorkItem> = {}): WorkItem {
  count += 1;
  return {
    id: `work-${count}`,
    customer: 'small',
    weight: 1,
    priority: 'standard',
    model: 'm',
    promptTokens: 1000,
    maxTokens: 100,
    prefixes: [],
    arrivedAt: 0,
    dueAt: 10_000,
    queueLimitMs: 5000,
    isLong: false,
    isResumed: false,
    avoidedEngines: [],
    ...changes,
  };
}

/** Creates an engine with 10,000 tokens of memory that serves the model `m`. */
export function createEngine(id: string, kvTokens = 10_000): Engine {
  const engine = new Engine({
    id,
    address: `http://${id}`,
    capacity: { kvTokens, maxBatch: 8, prefillTokensPerSecond: 10_000, decodeStepMs: 10 },
  });
  engine.models.add('m');
  engine.isReady = true;
  return engine;
}

/** Creates a ledger of the given engines. */
export function createLedger(...engines: Engine[]): Ledger {
  const ledger = new Ledger();
  engines.forEach((engine) => ledger.addEngine(engine));
  return ledger;
}

/** Creates a reservation of 1,000 tokens. */
export function createReservation(changes: Partial<Reservation> = {}): Reservation {
  count += 1;
  return {
    request: `request-${count}`,
    tokens: 1000,
    model: 'm',
    customer: 'small',
    priority: 'batch',
    leads: true,
    isLong: false,
    prefillTokens: 1000,
    grantedAt: 0,
    startBy: 1000,
    isConfirmed: true,
    isDecoding: false,
    session: 's',
    isPausable: true,
    isPausing: false,
    enginePriority: 8,
    ...changes,
  };
}
