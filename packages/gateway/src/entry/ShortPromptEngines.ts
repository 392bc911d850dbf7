import { LONG_PREFILL_MS, LatencyModel } from '@azurecart/scheduling';
import type { ShortPromptEnginesUpdate } from '../control/messages.js';
import type { PlacementRequest } from './Placement.js';
import type { ClusterView } from './ClusterView.js';

/** Cost, in requests in flight, of placing a long prompt on an engine that serves short ones. */
const LONG_ON_SHORT_COST = 20;
/** Cost, in requests in flight, of placing a short prompt on an engine not reported for them. */
const SHORT_ON_OTHER_COST = 4;

/**
 * The engines that serve short prompts, as last reported by a scheduler. They are used to keep long
 * prompts off these engines while no scheduler is available.
 */
export class ShortPromptEngines {
  private readonly enginesByService = new Map<string, Set<string>>();

  constructor(private readonly view: ClusterView) {}

  update({ service, engines }: ShortPromptEnginesUpdate): void {
    this.enginesByService.set(service, new Set(engines));
  }

  /** Gets the cost of placing a request on an engine, in requests in flight. */
  getCost(request: PlacementRequest, engine: string): number {
    const shortPromptEngines = this.enginesByService.get(request.service);
    const profile = this.view.routing?.getService(request.service)?.engine;
    if (!shortPromptEngines || !profile || shortPromptEngines.size === 0) return 0;
    const isLong = new LatencyModel(profile).getPrefillMs(request.promptTokens) > LONG_PREFILL_MS;
    if (isLong) return shortPromptEngines.has(engine) ? LONG_ON_SHORT_COST : 0;
    return shortPromptEngines.has(engine) ? 0 : SHORT_ON_OTHER_COST;
  }
}
