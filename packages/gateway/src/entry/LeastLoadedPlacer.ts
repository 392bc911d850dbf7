import type { UpstreamRecord } from '@azurecart/discovery';
import { EVACUATED_REFUSAL } from '../control/Evacuations.js';
import type { PermitClient } from './PermitClient.js';
import type { SharedCapacity } from './SharedCapacity.js';
import type { ShortPromptEngines } from './ShortPromptEngines.js';
import type { Placement, PlacementRequest, Placer, PlacementHandle } from './Placement.js';
import type { StartupGate } from './StartupGate.js';
import type { UpstreamHealth } from './UpstreamHealth.js';
import type { UpstreamStatements } from './UpstreamStatements.js';
import type { ClusterView } from './ClusterView.js';

export interface LeastLoadedPlacerOptions {
  view: ClusterView;
  health: UpstreamHealth;
  statements: UpstreamStatements;
  /** Knows which engines serve short prompts. */
  shortPromptEngines: ShortPromptEngines;
  /** Lets requests wait right after the start, while the upstreams are not known yet. */
  startupGate: StartupGate;
  /** Gets leave to send requests to upstreams with a limit. */
  permits: PermitClient;
  dataCentre: string;
  /** Knows which upstreams are slower than their peers; without it, none is. */
  capacity?: Pick<SharedCapacity, 'getSlowdown'>;
  /** Random numbers from 0 to 1, which spread requests over equally loaded upstreams. */
  random?: () => number;
}

/** Delay in ms before a client may retry if no upstream is known or all have been tried. */
const NO_UPSTREAM_RETRY_AFTER_MS = 500;
/** Cost of a failure rate of 1, in requests in flight. */
const FAILURE_COST = 8;
/**
 * Cost of a cold upstream in requests in flight: warm ones go first, as they need no permit, until
 * they are clearly busier.
 */
const COLD_COST = 1.5;
/**
 * Cost of an upstream in another data centre and upper bound of the random jitter, in requests in
 * flight. As the jitter stays below that cost, an upstream in another data centre is never
 * preferred to a local one that is equal in all else.
 */
const REMOTE_COST = 0.5;

/**
 * Chooses the upstream with the lowest cost: requests in flight from this process, plus penalties
 * for failures, for another data centre and for mixing long and short prompts on an engine.
 */
export class LeastLoadedPlacer implements Placer {
  constructor(private readonly options: LeastLoadedPlacerOptions) {}

  async place(request: PlacementRequest, signal: AbortSignal): Promise<Placement> {
    const { startupGate, permits, view } = this.options;
    if (view.upstreamTable.isEvacuated(request.service)) return EVACUATED_REFUSAL;
    const ranked = await startupGate.wait(() => this.rank(request), signal);
    const best = ranked?.[0];
    if (!ranked || !best) return this.refuse(request);
    const unlimitedAt = ranked.findIndex(({ id }) => !permits.isLimited(id));
    if (unlimitedAt === 0) return { kind: 'placed', upstream: best, helpers: [] };
    return this.placeWithPermit(request, ranked, ranked[unlimitedAt], signal);
  }

  track(_request: PlacementRequest, upstream: UpstreamRecord): PlacementHandle {
    const { health } = this.options;
    health.recordStart(upstream.id);
    return { reportProgress: () => undefined, release: () => health.recordFinish(upstream.id) };
  }

  /**
   * Places a request on an upstream with a limit that is preferred to the one without, if there is
   * a permit. It waits for one only if all upstreams have a limit.
   */
  private async placeWithPermit(
    request: PlacementRequest,
    ranked: UpstreamRecord[],
    unlimited: UpstreamRecord | undefined,
    signal: AbortSignal,
  ): Promise<Placement> {
    const limited = unlimited ? ranked.slice(0, ranked.indexOf(unlimited)) : ranked;
    const permit = await this.options.permits.acquire(
      {
        upstreams: limited.map(({ id }) => id),
        priority: request.priority,
        customer: request.customer,
        waitMs: unlimited ? 0 : Math.max(0, request.remainingMs - request.route.objectiveMs),
      },
      signal,
    );
    const granted =
      permit.kind === 'granted' ? limited.find(({ id }) => id === permit.upstream) : undefined;
    const upstream = granted ?? unlimited;
    if (upstream) return { kind: 'placed', upstream, helpers: [] };
    const retryAfterMs =
      permit.kind === 'refused' ? permit.retryAfterMs : NO_UPSTREAM_RETRY_AFTER_MS;
    return { kind: 'refused', reason: 'limits of the upstreams', retryAfterMs };
  }

  private refuse({ service, excluded }: PlacementRequest): Placement {
    const { statements } = this.options;
    const waits = statements
      .getPaused(service)
      .filter(({ id }) => !excluded.has(id))
      .map((upstream) => statements.getWaitMs(upstream));
    return waits.length > 0
      ? { kind: 'refused', reason: 'pauses of the upstreams', retryAfterMs: Math.min(...waits) }
      : { kind: 'refused', reason: 'no upstream', retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS };
  }

  /** Gets the upstreams in the order of their costs; undefined if there are none. */
  private rank(request: PlacementRequest): UpstreamRecord[] | undefined {
    const { view, health, statements } = this.options;
    const ready = view.upstreamTable.getReady(request.service);
    const untried = ready.filter(
      (upstream) => !request.excluded.has(upstream.id) && statements.getWaitMs(upstream) === 0,
    );
    const healthy = untried.filter(({ id }) => !health.isAvoided(id));
    const candidates = healthy.length > 0 ? healthy : untried;
    if (candidates.length === 0) return undefined;
    return candidates
      .map((upstream) => ({ upstream, cost: this.getCost(request, upstream) }))
      .sort((a, b) => a.cost - b.cost)
      .map(({ upstream }) => upstream);
  }

  private getCost(request: PlacementRequest, upstream: UpstreamRecord): number {
    const { view, health, shortPromptEngines, dataCentre, random = Math.random } = this.options;
    const remoteCost = upstream.dataCentre === dataCentre ? 0 : REMOTE_COST;
    const coldCost = view.limits.getColdLimit(upstream.id) === undefined ? 0 : COLD_COST;
    const failureCost = health.getFailureRate(upstream.id) * FAILURE_COST;
    const slowdown = this.drawSlowdown(request.service, upstream.id);
    // A slow upstream counts the request itself as well, so that it costs more when idle.
    const inFlight = (health.getInFlight(upstream.id) + 1) * slowdown - 1;
    const loadCost = inFlight + shortPromptEngines.getCost(request, upstream.id);
    return loadCost + remoteCost + coldCost + failureCost + random() * REMOTE_COST;
  }

  /**
   * Gets the slowdown of an upstream for one request. A few requests ignore it, by chance so that
   * not all processes choose the upstream at once; they show whether it is still slow.
   */
  private drawSlowdown(service: string, upstream: string): number {
    const { capacity, random = Math.random } = this.options;
    const slowdown = Math.max(1, capacity?.getSlowdown(service, upstream) ?? 1);
    return slowdown > 1 && random() * slowdown ** 2 < 1 ? 1 : slowdown;
  }
}
