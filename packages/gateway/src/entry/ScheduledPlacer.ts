import type { UpstreamRecord } from '@azurecart/discovery';
import { MAX_QUARANTINE_RETRY_MS } from '@azurecart/scheduling';
import type { EngineDecision, EngineHelper, EngineJob } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import { EVACUATED_REFUSAL } from '../control/Evacuations.js';
import { METHODS } from '../control/messages.js';
import type { ShortPromptEnginesUpdate, QueuedJobDecision } from '../control/messages.js';
import type { Link, Notification } from '../links/index.js';
import type { ShortPromptEngines } from './ShortPromptEngines.js';
import type { LeastLoadedPlacer } from './LeastLoadedPlacer.js';
import { PlacedJobs, notifyRelease } from './PlacedJobs.js';
import type {
  PlacedHelper,
  Placement,
  PlacementRequest,
  Placer,
  PlacementHandle,
} from './Placement.js';
import type { SchedulerSelector } from './SchedulerSelector.js';
import type { ClusterView } from './ClusterView.js';
import type { UpstreamStatements } from './UpstreamStatements.js';

export interface ScheduledPlacerOptions {
  view: ClusterView;
  schedulers: SchedulerSelector;
  shortPromptEngines: ShortPromptEngines;
  statements: UpstreamStatements;
  /**
   * Places requests while no scheduler responds, and always those without a prompt and those for
   * services without engines.
   */
  fallback: LeastLoadedPlacer;
  dataCentre: string;
  logger: Logger;
}

interface PendingDecision {
  link: Link;
  resolve: (decision: EngineDecision | undefined) => void;
}

/** Share of the latency objective that may be spent waiting for schedulers, in total. */
const SCHEDULER_TIMEOUT_SHARE = 0.125;
const MAX_SCHEDULER_TIMEOUT_MS = 250;
/** Share of that time for which the first scheduler is waited for; the second gets the rest. */
const FIRST_SCHEDULER_SHARE = 0.65;
/**
 * Delay in milliseconds before a client may retry if a prompt needs a scheduler and none responds,
 * or if its job is still queued at the deadline.
 */
const NO_DECISION_RETRY_AFTER_MS = 400;

/** Has a scheduler place prompts, and places them locally while no scheduler responds. */
export class ScheduledPlacer implements Placer {
  private readonly placedJobs = new PlacedJobs();

  private readonly pendingDecisions = new Map<string, PendingDecision>();

  private readonly subscribedLinks = new WeakSet<Link>();

  private nextId = 1;

  constructor(private readonly options: ScheduledPlacerOptions) {}

  async place(request: PlacementRequest, signal: AbortSignal): Promise<Placement> {
    const { view, fallback, schedulers } = this.options;
    const hasEngine = view.routing?.getService(request.service)?.engine !== undefined;
    if (!hasEngine || request.promptTokens === 0) return fallback.place(request, signal);
    if (view.upstreamTable.isEvacuated(request.service)) return EVACUATED_REFUSAL;
    const verdict = view.findings.poison.judge(request.parts);
    if (verdict.kind === 'quarantined') return refuseQuarantined(verdict.retryAfterMs);
    const job = this.createJob(request);
    const pauseMs = this.getPauseMs(job);
    if (pauseMs !== undefined)
      return { kind: 'refused', reason: 'pauses of the upstreams', retryAfterMs: pauseMs };
    let timeoutShare = FIRST_SCHEDULER_SHARE;
    for (const link of this.refreshSchedulers().filter((each) => !schedulers.isPaused(each))) {
      const decision = await this.requestDecision(link, job, timeoutShare, signal);
      if (decision) return this.applyDecision(decision, job, request, link, signal);
      timeoutShare = 1 - FIRST_SCHEDULER_SHARE;
    }
    return this.placeWithoutScheduler(request, signal);
  }

  track(
    request: PlacementRequest,
    upstream: UpstreamRecord,
    jobId: string | undefined,
  ): PlacementHandle {
    const localHandle = this.options.fallback.track(request, upstream);
    if (jobId === undefined) return localHandle;
    return {
      reportProgress: () => this.placedJobs.markDecoding(jobId),
      release: (ending, faultyHelperId) => {
        localHandle.release(ending);
        this.refreshSchedulers();
        this.placedJobs.remove(jobId, ending, faultyHelperId);
      },
    };
  }

  private async applyDecision(
    decision: EngineDecision,
    job: EngineJob,
    request: PlacementRequest,
    link: Link,
    signal: AbortSignal,
  ): Promise<Placement> {
    if (decision.kind === 'refused')
      return { kind: 'refused', reason: decision.reason, retryAfterMs: decision.retryAfterMs };
    // The request was aborted while queued: its deadline passed or the client disconnected. In the
    // second case no response is sent.
    if (decision.kind === 'queued')
      return { kind: 'refused', reason: 'time is over', retryAfterMs: NO_DECISION_RETRY_AFTER_MS };
    const upstream = this.options.view.upstreamTable.getUpstream(decision.engine);
    const { helpers } = decision;
    const placedHelpers = this.getHelpers(helpers);
    // The scheduler may know upstreams that are not known here yet, or have left in the meantime.
    if (
      !upstream ||
      !this.options.statements.isOpen(upstream) ||
      placedHelpers.length < helpers.length
    ) {
      notifyRelease(link, { id: job.id });
      return this.placeWithoutScheduler(request, signal);
    }
    this.placedJobs.register({ job, upstream: upstream.id, helpers, isWriting: false }, link);
    return {
      kind: 'placed',
      upstream,
      helpers: placedHelpers,
      jobId: job.id,
      expectedMs: decision.expectedMs,
      isScheduled: true,
    };
  }

  private async placeWithoutScheduler(
    request: PlacementRequest,
    signal: AbortSignal,
  ): Promise<Placement> {
    if (this.exceedsEngineMemory(request))
      return { kind: 'refused', reason: 'no scheduler', retryAfterMs: NO_DECISION_RETRY_AFTER_MS };
    // Only a scheduler can try a suspect part at one engine at a time.
    if (this.options.view.findings.poison.isRepeatedlyAccused(request.parts))
      return refuseQuarantined(NO_DECISION_RETRY_AFTER_MS);
    const placement = await this.options.fallback.place(request, signal);
    if (placement.kind !== 'placed') return placement;
    const job = this.createJob(request);
    this.placedJobs.register({
      job,
      upstream: placement.upstream.id,
      helpers: [],
      isWriting: false,
    });
    return { ...placement, jobId: job.id };
  }

  /**
   * True if the prompt exceeds the memory of a single engine. Only a scheduler can place it, because
   * it needs several idle engines and their memory at the same time.
   */
  private exceedsEngineMemory(request: PlacementRequest): boolean {
    const engine = this.options.view.routing?.getService(request.service)?.engine;
    return engine !== undefined && request.promptTokens > engine.kvCacheTokens;
  }

  /**
   * Requests a decision from a scheduler.
   * @returns Undefined if the scheduler does not respond in time, fails, or its link closes.
   */
  private async requestDecision(
    link: Link,
    job: EngineJob,
    timeoutShare: number,
    signal: AbortSignal,
  ): Promise<EngineDecision | undefined> {
    const { schedulers, logger } = this.options;
    const timeoutMs = getSchedulerTimeoutMs(job) * timeoutShare;
    const queuedDecision = this.awaitQueuedDecision(job.id, link, signal);
    try {
      const decision = (await link.call(METHODS.place, job, timeoutMs)) as EngineDecision;
      return decision.kind === 'queued' ? await queuedDecision : decision;
    } catch (error) {
      schedulers.pause(link);
      notifyRelease(link, { id: job.id });
      // The field `request` holds the id of the job here, which begins with that of the request.
      logger.warn({ err: error, request: job.id }, 'scheduler request failed');
      return undefined;
    } finally {
      this.pendingDecisions.delete(job.id);
    }
  }

  private awaitQueuedDecision(
    id: string,
    link: Link,
    signal: AbortSignal,
  ): Promise<EngineDecision | undefined> {
    return new Promise((resolve) => {
      this.pendingDecisions.set(id, { link, resolve });
      const onAbort = (): void => {
        // The job is released only while this call is pending; later it may already be placed.
        if (this.pendingDecisions.get(id)?.resolve === resolve) notifyRelease(link, { id });
        resolve({ kind: 'queued' });
      };
      if (signal.aborted) onAbort();
      else signal.addEventListener('abort', onAbort, { once: true });
    });
  }

  private refreshSchedulers(): Link[] {
    const links = this.options.schedulers.getLinks();
    links.forEach((link) => this.subscribe(link));
    this.placedJobs.setSchedulers(links);
    return links;
  }

  private subscribe(link: Link): void {
    if (this.subscribedLinks.has(link)) return;
    this.subscribedLinks.add(link);
    link.subscribe((notification) => this.handleNotification(notification));
    link.closed.then(() => {
      for (const pending of this.pendingDecisions.values())
        if (pending.link === link) pending.resolve(undefined);
    });
  }

  private handleNotification({ method, body, link }: Notification): void {
    if (method === METHODS.lightEngines)
      this.options.shortPromptEngines.update(body as ShortPromptEnginesUpdate);
    if (method !== METHODS.placed) return;
    const { id, decision } = body as QueuedJobDecision;
    const pending = this.pendingDecisions.get(id);
    if (pending) pending.resolve(decision);
    else if (decision.kind === 'placed') notifyRelease(link, { id });
  }

  /**
   * Gets the milliseconds until an upstream accepts requests from this process again, if none of
   * those that may serve the job does now; undefined if one does, or if there is none at all.
   */
  private getPauseMs({ service, excluded }: EngineJob): number | undefined {
    const { view, statements } = this.options;
    const paused = statements.getPaused(service);
    if (paused.length === 0) return undefined;
    const isOpen = view.upstreamTable.getReady(service).some(({ id }) => !excluded.includes(id));
    return isOpen ? undefined : Math.min(...paused.map((each) => statements.getWaitMs(each)));
  }

  /** Gets the helpers of a decision that still accept requests. */
  private getHelpers(helpers: EngineHelper[]): PlacedHelper[] {
    const { upstreamTable } = this.options.view;
    return helpers.flatMap(({ engine, heldTokens }) => {
      const upstream = upstreamTable.getUpstream(engine);
      return upstream && upstreamTable.isOpen(engine) ? [{ upstream, heldTokens }] : [];
    });
  }

  private createJob(request: PlacementRequest): EngineJob {
    const { dataCentre, statements } = this.options;
    const paused = statements.getPaused(request.service);
    const id = `${request.clientAttemptId}#${this.nextId}`;
    this.nextId += 1;
    return {
      id,
      service: request.service,
      dataCentre,
      promptTokens: request.promptTokens,
      priority: request.priority,
      objectiveMs: request.route.objectiveMs,
      pauseMs: request.route.pauseMs,
      remainingMs: request.remainingMs,
      patienceMs: request.patienceMs,
      isResumption: request.isResumption,
      waitedMs: request.waitedMs,
      excluded: [...request.excluded, ...paused.map(({ id: upstream }) => upstream)],
      parts: request.parts,
    };
  }
}

function refuseQuarantined(retryAfterMs: number): Placement {
  const reason = 'a part of the prompt is quarantined';
  return { kind: 'refused', reason, retryAfterMs: Math.min(retryAfterMs, MAX_QUARANTINE_RETRY_MS) };
}

/**
 * Gets the total time that may be spent waiting for schedulers: a share of the latency objective,
 * or of the remaining time if the objective has already been missed, and at most
 * `MAX_SCHEDULER_TIMEOUT_MS`. A late request may wait longer, as its remaining time usually
 * exceeds the objective, because placing it without a scheduler would delay other requests too.
 */
function getSchedulerTimeoutMs({ objectiveMs, waitedMs, remainingMs }: EngineJob): number {
  const timeMs = waitedMs > objectiveMs ? remainingMs : objectiveMs;
  return Math.min(MAX_SCHEDULER_TIMEOUT_MS, timeMs * SCHEDULER_TIMEOUT_SHARE);
}
