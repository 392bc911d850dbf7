import { HEAVY_READ_MS, PassModel } from '@azurecart/scheduling';
import type { LightEnginesNotice } from '../control/messages.js';
import type { PlacementRequest } from './Placement.js';
import type { View } from './View.js';

/** Requests in flight that a long prompt beside short ones counts as. */
const SPOIL_COST = 20;
/** Requests in flight that a short prompt on an engine kept clear counts as. */
const OPEN_COST = 4;

/**
 * The engines that answered short prompts when a scheduler last told it. While no scheduler can be
 * asked, this keeps long prompts away from them.
 */
export class EngineKinds {
  private readonly lightByService = new Map<string, Set<string>>();

  constructor(private readonly view: View) {}

  adopt({ service, engines }: LightEnginesNotice): void {
    this.lightByService.set(service, new Set(engines));
  }

  /** Gets the cost of an engine for a request, in requests in flight. */
  getCost(request: PlacementRequest, engine: string): number {
    const light = this.lightByService.get(request.service);
    const pace = this.view.routing?.getService(request.service)?.engine;
    if (!light || !pace || light.size === 0) return 0;
    const isHeavy = new PassModel(pace).getReadMs(request.promptTokens) > HEAVY_READ_MS;
    if (isHeavy) return light.has(engine) ? SPOIL_COST : 0;
    return light.has(engine) ? 0 : OPEN_COST;
  }
}
