import { HEAVY_READ_MS, LatencyModel } from '@azurecart/scheduling';
import type { LightEnginesUpdate } from '../control/messages.js';
import type { PlacementRequest } from './Placement.js';
import type { ClusterView } from './ClusterView.js';

/** Cost, in requests in flight, of placing a long prompt on an engine that serves short ones. */
const HEAVY_ON_LIGHT_COST = 20;
/** Cost, in requests in flight, of placing a short prompt on an engine not reported for them. */
const LIGHT_ON_OTHER_COST = 4;

/**
 * The engines that serve short ("light") prompts, as last reported by a scheduler. They are used to
 * keep long ("heavy") prompts off these engines while no scheduler is available.
 */
export class LightEngines {
  private readonly lightByService = new Map<string, Set<string>>();

  constructor(private readonly view: ClusterView) {}

  update({ service, engines }: LightEnginesUpdate): void {
    this.lightByService.set(service, new Set(engines));
  }

  /** Gets the cost of placing a request on an engine, in requests in flight. */
  getCost(request: PlacementRequest, engine: string): number {
    const light = this.lightByService.get(request.service);
    const pace = this.view.routing?.getService(request.service)?.engine;
    if (!light || !pace || light.size === 0) return 0;
    const isHeavy = new LatencyModel(pace).getPrefillMs(request.promptTokens) > HEAVY_READ_MS;
    if (isHeavy) return light.has(engine) ? HEAVY_ON_LIGHT_COST : 0;
    return light.has(engine) ? 0 : LIGHT_ON_OTHER_COST;
  }
}
