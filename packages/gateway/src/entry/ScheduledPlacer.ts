import type { UpstreamRecord } from '@azurecart/discovery';
import type { EngineDecision, EngineHelp, EngineJob } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import { METHODS } from '../control/messages.js';
import type { LightEnginesNotice, PlacedNotice } from '../control/messages.js';
import type { Link, Notice } from '../links/index.js';
import type { EngineKinds } from './EngineKinds.js';
import type { LeastLoadedPlacer } from './LeastLoadedPlacer.js';
import { PlacedJobs, tellRelease } from './PlacedJobs.js';
import type {
  PlacedHelper,
  Placement,
  PlacementRequest,
  Placer,
  Reservation,
} from './Placement.js';
import type { Schedulers } from './Schedulers.js';
import type { View } from './View.js';

/** What the placer needs. */
export interface ScheduledPlacerOptions {
  view: View;
  schedulers: Schedulers;
  kinds: EngineKinds;
  /** Decides while no scheduler answers, and for services without engines. */
  fallback: LeastLoadedPlacer;
  dataCentre: string;
  logger: Logger;
}

interface WaitingJob {
  link: Link;
  resolve: (decision: EngineDecision | undefined) => void;
}

/** Part of the objective for which silent schedulers are waited for, all together. */
const SILENCE_SHARE = 0.125;
const MAX_SILENCE_MS = 250;
/** Part of that time for which the first one is waited for. */
const FIRST_SILENCE_SHARE = 0.65;
const RETRY_AFTER_MS = 400;

/** Lets a scheduler place prompts, and decides alone at once while none answers. */
export class ScheduledPlacer implements Placer {
  private readonly jobs = new PlacedJobs();

  private readonly waiting = new Map<string, WaitingJob>();

  private readonly followed = new WeakSet<Link>();

  private nextId = 1;

  constructor(private readonly options: ScheduledPlacerOptions) {}

  async place(request: PlacementRequest, signal: AbortSignal): Promise<Placement> {
    const { view, fallback, schedulers } = this.options;
    const hasEngine = view.routing?.getService(request.service)?.engine !== undefined;
    if (!hasEngine || request.promptTokens === 0) return fallback.place(request, signal);
    const job = this.createJob(request);
    let silenceShare = FIRST_SILENCE_SHARE;
    for (const link of this.followSchedulers().filter((each) => !schedulers.isPaused(each))) {
      const decision = await this.ask(link, job, silenceShare, signal);
      if (decision) return this.accept(decision, job, request, link, signal);
      silenceShare = 1 - FIRST_SILENCE_SHARE;
    }
    return this.placeAlone(request, signal);
  }

  reserve(
    request: PlacementRequest,
    upstream: UpstreamRecord,
    jobId: string | undefined,
  ): Reservation {
    const local = this.options.fallback.reserve(request, upstream);
    if (jobId === undefined) return local;
    return {
      addProgress: () => this.jobs.markWriting(jobId),
      release: (ending, culprit) => {
        local.release(ending);
        this.followSchedulers();
        this.jobs.remove(jobId, ending, culprit);
      },
    };
  }

  private async accept(
    decision: EngineDecision,
    job: EngineJob,
    request: PlacementRequest,
    link: Link,
    signal: AbortSignal,
  ): Promise<Placement> {
    if (decision.kind === 'refused')
      return { kind: 'refused', reason: decision.reason, retryAfterMs: decision.retryAfterMs };
    if (decision.kind === 'queued')
      return { kind: 'refused', reason: 'time is over', retryAfterMs: RETRY_AFTER_MS };
    const upstream = this.options.view.table.getUpstream(decision.engine);
    if (!upstream || upstream.state !== 'ready') {
      tellRelease(link, { id: job.id });
      return this.placeAlone(request, signal);
    }
    const { helpers } = decision;
    this.jobs.add({ job, upstream: upstream.id, helpers, isWriting: false }, link);
    return {
      kind: 'placed',
      upstream,
      helpers: this.getHelpers(helpers),
      jobId: job.id,
      expectedMs: decision.expectedMs,
      isScheduled: true,
    };
  }

  private async placeAlone(request: PlacementRequest, signal: AbortSignal): Promise<Placement> {
    if (this.needsSeveral(request))
      return { kind: 'refused', reason: 'no scheduler', retryAfterMs: RETRY_AFTER_MS };
    const placement = await this.options.fallback.place(request, signal);
    if (placement.kind !== 'placed') return placement;
    const job = this.createJob(request);
    this.jobs.add({ job, upstream: placement.upstream.id, helpers: [], isWriting: false });
    return { ...placement, jobId: job.id };
  }

  /** True when no single engine can hold the prompt; only a scheduler knows which are clear. */
  private needsSeveral(request: PlacementRequest): boolean {
    const engine = this.options.view.routing?.getService(request.service)?.engine;
    return engine !== undefined && request.promptTokens > engine.memoryTokens;
  }

  /** Asks a scheduler; undefined when it does not answer or its link ends. */
  private async ask(
    link: Link,
    job: EngineJob,
    silenceShare: number,
    signal: AbortSignal,
  ): Promise<EngineDecision | undefined> {
    const { schedulers, logger } = this.options;
    const silenceMs = getPatienceMs(job) * silenceShare;
    const later = this.waitFor(job.id, link, signal);
    try {
      const answer = (await link.call(METHODS.place, job, silenceMs)) as EngineDecision;
      return answer.kind === 'queued' ? await later : answer;
    } catch (error) {
      schedulers.pause(link);
      tellRelease(link, { id: job.id });
      logger.warn({ err: error, request: job.id }, 'scheduler does not answer');
      return undefined;
    } finally {
      this.waiting.delete(job.id);
    }
  }

  private waitFor(
    id: string,
    link: Link,
    signal: AbortSignal,
  ): Promise<EngineDecision | undefined> {
    return new Promise((resolve) => {
      this.waiting.set(id, { link, resolve });
      const onAbort = (): void => {
        if (this.waiting.get(id)?.resolve === resolve) tellRelease(link, { id });
        resolve({ kind: 'queued' });
      };
      if (signal.aborted) onAbort();
      else signal.addEventListener('abort', onAbort, { once: true });
    });
  }

  private followSchedulers(): Link[] {
    const links = this.options.schedulers.getLinks();
    links.forEach((link) => this.follow(link));
    this.jobs.follow(links);
    return links;
  }

  private follow(link: Link): void {
    if (this.followed.has(link)) return;
    this.followed.add(link);
    link.received.subscribe((notice) => this.take(notice));
    link.ended.then(() => {
      for (const waiting of this.waiting.values())
        if (waiting.link === link) waiting.resolve(undefined);
    });
  }

  private take({ method, body, link }: Notice): void {
    if (method === METHODS.lightEngines) this.options.kinds.adopt(body as LightEnginesNotice);
    if (method !== METHODS.placed) return;
    const { id, decision } = body as PlacedNotice;
    const waiting = this.waiting.get(id);
    if (waiting) waiting.resolve(decision);
    else if (decision.kind === 'placed') tellRelease(link, { id });
  }

  private getHelpers(helpers: EngineHelp[]): PlacedHelper[] {
    const { table } = this.options.view;
    return helpers.flatMap(({ engine, heldTokens }) => {
      const upstream = table.getUpstream(engine);
      return upstream ? [{ upstream, heldTokens }] : [];
    });
  }

  private createJob(request: PlacementRequest): EngineJob {
    const { dataCentre } = this.options;
    const id = `${request.requestId}#${this.nextId}`;
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
      waitedMs: request.waitedMs,
      excluded: [...request.excluded],
    };
  }
}

/** A request that is late already waits longer, for placing it blindly would delay others too. */
function getPatienceMs({ objectiveMs, waitedMs, remainingMs }: EngineJob): number {
  const timeMs = waitedMs > objectiveMs ? remainingMs : objectiveMs;
  return Math.min(MAX_SILENCE_MS, timeMs * SILENCE_SHARE);
}
