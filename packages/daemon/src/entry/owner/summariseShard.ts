import type { Ledger, Scheduler, WorkPriority } from '@azurecart/scheduling';
import { PRIORITIES } from '@azurecart/protocol';
import type { Announcement } from '@azurecart/protocol';
import type { SummaryMessage } from './OwnerCalls.js';

/** What a summary is made from. */
export interface SummarySource {
  shard: string;
  fence: number;
  ledger: Ledger;
  scheduler: Scheduler;
  services: Announcement[];
}

type ModelSummary = NonNullable<SummaryMessage['models']>[number];

const NOMINAL_PROMPT_TOKENS = 1000;
const NOMINAL_ANSWER_TOKENS = 50;

/** Gets what other entry processes choose a shard by. */
export function summariseShard(source: SummarySource): SummaryMessage {
  const engines = source.ledger.getEngines().filter((engine) => engine.isReady);
  const models = new Set(engines.flatMap((engine) => [...engine.models]));
  return {
    shard: source.shard,
    fence: BigInt(source.fence),
    models: [...models].map((model) => summariseModel(source, model)),
    services: source.services.map(({ id, address, pool, load }) => ({
      id,
      address,
      service: pool,
      load: load?.running ?? 0,
    })),
  };
}

function summariseModel({ ledger, scheduler }: SummarySource, model: string): ModelSummary {
  const engines = ledger.getServing(model);
  return {
    model,
    waitMs: PRIORITIES.map((priority) => getWaitMs(scheduler, model, priority)),
    totalTokens: engines.reduce((sum, engine) => sum + engine.capacity.kvTokens, 0),
  };
}

/** Gets the wait of a short prompt of a customer that has nothing queued. */
function getWaitMs(scheduler: Scheduler, model: string, priority: WorkPriority): number {
  return scheduler.getWaitMs({
    id: '',
    customer: '',
    weight: 1,
    priority,
    model,
    promptTokens: NOMINAL_PROMPT_TOKENS,
    maxTokens: NOMINAL_ANSWER_TOKENS,
    prefixes: [],
    arrivedAt: performance.now(),
    dueAt: Infinity,
    queueLimitMs: Infinity,
    isLong: false,
    isResumed: false,
    avoided: [],
  });
}
