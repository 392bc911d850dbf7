import type { Ledger, Scheduler, WorkPriority } from '@azurecart/scheduling';
import { PRIORITIES } from '@azurecart/protocol';
import type { Announcement } from '@azurecart/protocol';
import type { SummaryInit } from './OwnerApi.js';

export interface SummaryInput {
  shard: string;
  fence: number;
  ledger: Ledger;
  scheduler: Scheduler;
  services: Announcement[];
}

type ModelSummary = NonNullable<SummaryInit['models']>[number];

/** Length of the short prompt that is assumed for the estimated wait. */
const NOMINAL_PROMPT_TOKENS = 1000;
const NOMINAL_OUTPUT_TOKENS = 50;

/** Creates the summary of a shard from which entry processes choose one. */
export function summariseShard(input: SummaryInput): SummaryInit {
  const engines = input.ledger.getEngines().filter((engine) => engine.isReady);
  const models = new Set(engines.flatMap((engine) => [...engine.models]));
  return {
    shard: input.shard,
    fence: BigInt(input.fence),
    models: [...models].map((model) => summariseModel(input, model)),
    services: input.services.map(({ id, address, pool, load }) => ({
      id,
      address,
      // For a service, the field `pool` of the announcement has its name.
      service: pool,
      load: load?.running ?? 0,
    })),
  };
}

function summariseModel({ ledger, scheduler }: SummaryInput, model: string): ModelSummary {
  const engines = ledger.getServingEngines(model);
  return {
    model,
    waitMs: PRIORITIES.map((priority) => getNominalWaitMs(scheduler, model, priority)),
    totalTokens: engines.reduce((sum, engine) => sum + engine.capacity.kvTokens, 0),
  };
}

/** Estimates the queueing delay of a short prompt from a customer with nothing queued. */
function getNominalWaitMs(scheduler: Scheduler, model: string, priority: WorkPriority): number {
  return scheduler.getWaitMs({
    id: '',
    customer: '',
    weight: 1,
    priority,
    model,
    promptTokens: NOMINAL_PROMPT_TOKENS,
    maxTokens: NOMINAL_OUTPUT_TOKENS,
    prefixes: [],
    arrivedAt: performance.now(),
    dueAt: Infinity,
    queueLimitMs: Infinity,
    isLong: false,
    isResumed: false,
    avoidedEngines: [],
  });
}
