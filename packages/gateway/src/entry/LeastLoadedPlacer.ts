import type { UpstreamRecord } from '@azurecart/discovery';
import type { EngineKinds } from './EngineKinds.js';
import type { Placement, PlacementRequest, Placer, Reservation } from './Placement.js';
import type { StartGate } from './StartGate.js';
import type { UpstreamHealth } from './UpstreamHealth.js';
import type { View } from './View.js';

/** What the placer looks at. */
export interface LeastLoadedPlacerOptions {
  view: View;
  health: UpstreamHealth;
  /** Tells engines for short and for long prompts apart. */
  kinds: EngineKinds;
  /** Lets requests wait while the upstreams are not known yet. */
  gate: StartGate;
  dataCentre: string;
  /** Gets numbers from 0 to 1, which spread requests over equal upstreams. */
  random?: () => number;
}

/** Milliseconds after which a client may come back when no upstream is known. */
const RETRY_AFTER_MS = 500;
/** Requests in flight that a share of failures of one counts as. */
const FAILURE_COST = 8;
/** Requests in flight that another data centre counts as. */
const DISTANCE_COST = 0.5;

/** Takes the upstream with the fewest requests of this process, the near and healthy first. */
export class LeastLoadedPlacer implements Placer {
  constructor(private readonly options: LeastLoadedPlacerOptions) {}

  async place(request: PlacementRequest, signal: AbortSignal): Promise<Placement> {
    const { gate } = this.options;
    const upstream = await gate.wait(() => this.choose(request), signal);
    if (upstream) return { kind: 'placed', upstream, helpers: [] };
    return { kind: 'refused', reason: 'no upstream', retryAfterMs: RETRY_AFTER_MS };
  }

  reserve(_request: PlacementRequest, upstream: UpstreamRecord): Reservation {
    const { health } = this.options;
    health.start(upstream.id);
    return { addProgress: () => undefined, release: () => health.finish(upstream.id) };
  }

  private choose(request: PlacementRequest): UpstreamRecord | undefined {
    const { view, health } = this.options;
    const ready = view.table.getReady(request.service);
    const fresh = ready.filter(({ id }) => !request.excluded.has(id));
    const healthy = fresh.filter(({ id }) => !health.isAvoided(id));
    const candidates = healthy.length > 0 ? healthy : fresh;
    const [best] = candidates
      .map((upstream) => ({ upstream, cost: this.getCost(request, upstream) }))
      .sort((a, b) => a.cost - b.cost);
    return best?.upstream;
  }

  private getCost(request: PlacementRequest, upstream: UpstreamRecord): number {
    const { health, kinds, dataCentre, random = Math.random } = this.options;
    const distance = upstream.dataCentre === dataCentre ? 0 : DISTANCE_COST;
    const failures = health.getFailureShare(upstream.id) * FAILURE_COST;
    const own = health.getInFlight(upstream.id) + kinds.getCost(request, upstream.id);
    return own + distance + failures + random() * DISTANCE_COST;
  }
}
