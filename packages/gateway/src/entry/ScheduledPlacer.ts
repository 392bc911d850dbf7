import type { UpstreamRecord } from '@azurecart/discovery';
import type { EngineDecision, EngineHelp, EngineJob } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { Mesh } from '../control/Mesh.js';
import { METHODS } from '../control/messages.js';
import type { AdoptNotice, JobNotice, PlacedNotice } from '../control/messages.js';
import type { Link, Notice } from '../links/index.js';
import type { LeastLoadedPlacer } from './LeastLoadedPlacer.js';
import type {
  PlacedHelper,
  Placement,
  PlacementRequest,
  Placer,
  Reservation,
} from './Placement.js';
import type { View } from './View.js';

/** What the placer needs. */
export interface ScheduledPlacerOptions {
  view: View;
  mesh: Mesh;
  /** Decides while no scheduler answers, and for services without engines. */
  fallback: LeastLoadedPlacer;
  dataCentre: string;
  logger: Logger;
}

interface OwnJob extends AdoptNotice {
  /** The link on which the scheduler knows the job. */
  link: Link | undefined;
}

interface WaitingJob {
  link: Link;
  resolve: (decision: EngineDecision | undefined) => void;
}

/** Part of the objective after which a silent scheduler is not waited for. */
const SILENCE_SHARE = 0.125;
const MAX_SILENCE_MS = 250;
/** Silence of a link in milliseconds after which its other side is not asked. */
const SUSPECT_MS = 900;
/** Milliseconds for which a scheduler that did not answer is not asked. */
const PAUSE_MS = 400;
const RETRY_AFTER_MS = 400;

/** Lets the leading control process place prompts, and decides alone at once while it is silent. */
export class ScheduledPlacer implements Placer {
  private readonly jobs = new Map<string, OwnJob>();

  private readonly waiting = new Map<string, WaitingJob>();

  private readonly followed = new WeakSet<Link>();

  private nextId = 1;

  private pausedUntil = 0;

  constructor(private readonly options: ScheduledPlacerOptions) {}

  async place(request: PlacementRequest, signal: AbortSignal): Promise<Placement> {
    const { view, fallback } = this.options;
    const hasEngine = view.routing?.getService(request.service)?.engine !== undefined;
    if (!hasEngine || request.promptTokens === 0) return fallback.place(request, signal);
    const link = this.getScheduler();
    if (!link) return this.placeAlone(request, signal);
    const job = this.createJob(request);
    const decision = await this.ask(link, job, signal);
    if (!decision) return this.placeAlone(request, signal);
    if (decision.kind === 'refused')
      return {
        kind: 'refused',
        reason: decision.reason,
        retryAfterMs: decision.retryAfterMs,
      };
    if (decision.kind === 'queued')
      return { kind: 'refused', reason: 'time is over', retryAfterMs: RETRY_AFTER_MS };
    const upstream = view.table.getUpstream(decision.engine);
    if (!upstream || upstream.state !== 'ready') {
      tellRelease(link, { id: job.id });
      return this.placeAlone(request, signal);
    }
    const { helpers } = decision;
    this.jobs.set(job.id, { job, upstream: upstream.id, helpers, isWriting: false, link });
    return { kind: 'placed', upstream, helpers: this.getHelpers(helpers), jobId: job.id };
  }

  reserve(
    request: PlacementRequest,
    upstream: UpstreamRecord,
    jobId: string | undefined,
  ): Reservation {
    const local = this.options.fallback.reserve(request, upstream);
    if (jobId === undefined) return local;
    return {
      addProgress: () => this.addProgress(jobId),
      release: (isBroken) => {
        local.release(isBroken);
        this.release(jobId, isBroken ? upstream.id : undefined);
      },
    };
  }

  /** Tells a scheduler that was just reached what runs here. */
  introduce(link: Link): void {
    this.follow(link);
    for (const own of this.jobs.values()) {
      const { job, upstream, helpers, isWriting } = own;
      link.notify(METHODS.adopt, { job, upstream, helpers, isWriting });
      own.link = link;
    }
  }

  private async placeAlone(request: PlacementRequest, signal: AbortSignal): Promise<Placement> {
    if (this.needsSeveral(request))
      return { kind: 'refused', reason: 'no scheduler', retryAfterMs: RETRY_AFTER_MS };
    const placement = await this.options.fallback.place(request, signal);
    if (placement.kind !== 'placed') return placement;
    const job = this.createJob(request);
    const link = this.getScheduler();
    const notice = { job, upstream: placement.upstream.id, helpers: [], isWriting: false };
    this.jobs.set(job.id, { ...notice, link });
    link?.notify(METHODS.adopt, notice);
    return { ...placement, jobId: job.id };
  }

  /** True when no single engine can hold the prompt; only the scheduler knows which are clear. */
  private needsSeveral(request: PlacementRequest): boolean {
    const engine = this.options.view.routing?.getService(request.service)?.engine;
    return engine !== undefined && request.promptTokens > engine.memoryTokens;
  }

  /** Asks the scheduler; undefined when it does not answer or its link ends. */
  private async ask(
    link: Link,
    job: EngineJob,
    signal: AbortSignal,
  ): Promise<EngineDecision | undefined> {
    const silenceMs = Math.min(MAX_SILENCE_MS, job.objectiveMs * SILENCE_SHARE);
    const later = this.waitFor(job.id, link, signal);
    try {
      const answer = (await link.call(METHODS.place, job, silenceMs)) as EngineDecision;
      return answer.kind === 'queued' ? await later : answer;
    } catch (error) {
      this.pausedUntil = performance.now() + PAUSE_MS;
      tellRelease(link, { id: job.id });
      this.options.logger.warn({ err: error, request: job.id }, 'scheduler does not answer');
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
    if (method !== METHODS.placed) return;
    const { id, decision } = body as PlacedNotice;
    const waiting = this.waiting.get(id);
    if (waiting) waiting.resolve(decision);
    else if (decision.kind === 'placed') tellRelease(link, { id });
  }

  private getScheduler(): Link | undefined {
    const { view, mesh } = this.options;
    const { leader } = view.cluster.value;
    if (!leader || performance.now() < this.pausedUntil) return undefined;
    const link = mesh.getLink(leader).current;
    if (!link || link.silence > SUSPECT_MS) return undefined;
    if (!this.followed.has(link)) this.introduce(link);
    return link;
  }

  private getHelpers(helpers: EngineHelp[]): PlacedHelper[] {
    const { table } = this.options.view;
    return helpers.flatMap(({ engine, heldTokens }) => {
      const upstream = table.getUpstream(engine);
      return upstream ? [{ upstream, heldTokens }] : [];
    });
  }

  private addProgress(id: string): void {
    const own = this.jobs.get(id);
    if (!own) return;
    own.isWriting = true;
    own.link?.notify(METHODS.progress, { id });
  }

  private release(id: string, broken: string | undefined): void {
    const own = this.jobs.get(id);
    this.jobs.delete(id);
    if (own?.link) tellRelease(own.link, broken === undefined ? { id } : { id, broken });
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

function tellRelease(link: Link, notice: JobNotice): void {
  link.notify(METHODS.release, notice);
}
