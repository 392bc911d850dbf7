import type { UpstreamTable } from '@azurecart/discovery';
import { EngineScheduler, PermitQueue, RateLimiter } from '@azurecart/scheduling';
import type { EngineDecision, EngineJob, PermitRequest } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { Configuration, Service } from '../configuration/index.js';
import type { Findings } from '../findings/index.js';
import { UpstreamLimits } from '../limits/index.js';
import type { CallHandler, Link } from '../links/index.js';
import { EVACUATED_REFUSAL } from './Evacuations.js';
import { CapacityService } from './CapacityService.js';
import { METHODS } from './messages.js';
import type {
  DurationsReport,
  PlacedJob,
  PermittedSend,
  JobUpdate,
  SentJob,
  ShortPromptEnginesUpdate,
  QueuedJobDecision,
} from './messages.js';

/** Options of a {@link PlacementService}. */
export interface PlacementServiceOptions {
  table: UpstreamTable;
  /** Gets the current configuration; undefined before the first document is committed. */
  getConfiguration: () => Configuration | undefined;
  findings: Findings;
  /** Returns true while this process leads; another one may decide beside it. */
  isLeading?: () => boolean;
  logger: Logger;
}

interface TrackedJob {
  job: EngineJob;
  scheduler: EngineScheduler;
  link: Link;
}

/** Share of the limits of cold upstreams that a process uses that decides beside the leader. */
const STANDBY_COLD_SHARE = 0.5;
/** Interval in milliseconds at which queued jobs are reconsidered. */
const QUEUE_INTERVAL_MS = 20;
/** Interval in milliseconds between notifications of the engines that serve short prompts. */
const SHORT_PROMPT_ENGINES_INTERVAL_MS = 1000;
/** Interval in milliseconds between notifications of upstreams that are slower than their peers. */
const SLOWDOWNS_INTERVAL_MS = 1000;

/**
 * Schedules prompts on engines for the entry processes that select this process as a scheduler.
 * @remarks Its state is soft: an entry process reports its running jobs to each scheduler that it
 * selects, and withdraws them when it selects another one.
 */
export class PlacementService {
  private readonly schedulers = new Map<string, EngineScheduler>();

  private readonly jobs = new Map<string, TrackedJob>();

  private readonly limiter: RateLimiter;

  private readonly permitQueue: PermitQueue;

  private readonly capacity: CapacityService;

  private readonly limits: UpstreamLimits;

  private readonly timers: NodeJS.Timeout[];

  /** Links over which jobs were placed or reported. */
  private readonly entryLinks = new Set<Link>();

  private readonly attachedLinks = new WeakSet<Link>();

  constructor(private readonly options: PlacementServiceOptions) {
    const now = (): number => performance.now();
    const { table, findings, logger, isLeading = () => true } = options;
    const getService = (name: string) => this.getService(name);
    this.limits = new UpstreamLimits({ table, findings, getService, logger });
    this.limiter = new RateLimiter({
      now,
      getLimit: (upstream) => this.limits.getNamedLimit(upstream),
      getColdLimit: (upstream) => this.limits.getColdLimit(upstream),
      getColdShare: () => (isLeading() ? 1 : STANDBY_COLD_SHARE),
    });
    this.permitQueue = new PermitQueue({ now, limiter: this.limiter });
    this.capacity = new CapacityService(options);
    this.timers = [
      setInterval(() => this.decideQueued(), QUEUE_INTERVAL_MS),
      setInterval(() => this.sendShortPromptEngines(), SHORT_PROMPT_ENGINES_INTERVAL_MS),
      setInterval(() => this.capacity.publish(this.entryLinks), SLOWDOWNS_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
  }

  addHandlers(handlers: Map<string, CallHandler>): void {
    handlers.set(METHODS.place, (body, link) => this.place(toEngineJob(body as SentJob), link));
    handlers.set(METHODS.permit, (body) => {
      this.limiter.recordDecision();
      return this.permitQueue.request(body as PermitRequest);
    });
  }

  /** Handles the job notifications on a link and releases its jobs when it is closed. */
  attach(link: Link): void {
    if (this.attachedLinks.has(link)) return;
    this.attachedLinks.add(link);
    link.subscribe(({ method, body }) => {
      if (method === METHODS.adopt) this.handleAdopt(body as PlacedJob, link);
      else if (method === METHODS.progress) this.handleProgress((body as JobUpdate).id);
      else if (method === METHODS.release) this.release(body as JobUpdate);
      else if (method === METHODS.sent) this.limiter.recordSend((body as PermittedSend).upstream);
      else if (method === METHODS.durations) this.handleDurations(body as DurationsReport, link);
    });
    link.closed.then(() => {
      this.entryLinks.delete(link);
      this.releaseJobsOf(link);
    });
  }

  /** Applies a change of the evacuated data centres: queued jobs go to other engines, if any. */
  updateEngines(): void {
    const { table } = this.options;
    for (const [service, scheduler] of this.schedulers) {
      scheduler.setEngines(table.getReady(service));
      if (table.isEvacuated(service)) scheduler.refuseQueued(EVACUATED_REFUSAL);
    }
  }

  private place(job: EngineJob, link: Link): EngineDecision {
    const scheduler = this.getScheduler(job.service);
    // Also thrown while there is no configuration, or none with an engine profile for the service.
    if (!scheduler) throw new Error(`no engines known for service ${job.service}`);
    if (this.options.table.isEvacuated(job.service)) return EVACUATED_REFUSAL;
    this.attach(link);
    this.limiter.recordDecision();
    scheduler.setEngines(this.options.table.getReady(job.service));
    const decision = scheduler.place(job);
    this.entryLinks.add(link);
    if (decision.kind !== 'refused') this.jobs.set(job.id, { job, scheduler, link });
    if (decision.kind !== 'placed') this.logDecision(job.id, decision);
    return decision;
  }

  private handleAdopt(placedJob: PlacedJob, link: Link): void {
    const { upstream, helpers, isWriting, ageMs } = placedJob;
    const job = toEngineJob(placedJob.job);
    const scheduler = this.getScheduler(job.service);
    if (!scheduler || this.jobs.has(job.id)) return;
    scheduler.setEngines(this.options.table.getReady(job.service));
    this.entryLinks.add(link);
    scheduler.adopt(job, upstream, helpers, isWriting, ageMs);
    this.jobs.set(job.id, { job, scheduler, link });
  }

  private handleProgress(id: string): void {
    const known = this.jobs.get(id);
    if (!known) return;
    this.options.findings.recordAnswer(known.job.parts);
    known.scheduler.markDecoding(id);
  }

  private handleDurations(report: DurationsReport, link: Link): void {
    // Engines are compared by the first events of their prompts.
    const service = this.getService(report.service);
    if (!service || service.engine) return;
    this.entryLinks.add(link);
    this.capacity.recordDurations(report);
  }

  private release({ id, ending, culprit: faultyHelperId }: JobUpdate): void {
    const known = this.jobs.get(id);
    if (!known) return;
    this.jobs.delete(id);
    known.scheduler.release(id, ending, faultyHelperId);
  }

  private releaseJobsOf(link: Link): void {
    for (const [id, known] of this.jobs) if (known.link === link) this.release({ id });
  }

  private getScheduler(service: string): EngineScheduler | undefined {
    const known = this.schedulers.get(service);
    if (known) return known;
    const profile = this.getService(service)?.engine;
    if (!profile) return undefined;
    const scheduler = new EngineScheduler({
      profile,
      now: () => performance.now(),
      onDecided: (id, decision) => this.sendDecision(id, decision),
      onBroken: (engine) => this.options.table.assumeCold(({ id }) => id === engine),
      poison: this.options.findings.poison,
      limiter: this.limiter,
      capacity: this.capacity.getEstimator(service, true),
    });
    this.schedulers.set(service, scheduler);
    return scheduler;
  }

  private getService(name: string): Service | undefined {
    return this.options.getConfiguration()?.services.find((service) => service.name === name);
  }

  private sendDecision(id: string, decision: EngineDecision): void {
    const notification: QueuedJobDecision = { id, decision };
    this.jobs.get(id)?.link.notify(METHODS.placed, notification);
    if (decision.kind === 'refused') this.jobs.delete(id);
    this.logDecision(id, decision);
  }

  private decideQueued(): void {
    const schedulers = [...this.schedulers.values()];
    const isDeciding =
      this.permitQueue.length > 0 || schedulers.some(({ queueLength }) => queueLength > 0);
    if (!isDeciding) return;
    this.limiter.recordDecision();
    this.permitQueue.decide();
    schedulers
      .filter(({ queueLength }) => queueLength > 0)
      .forEach((scheduler) => scheduler.decideQueued());
  }

  private sendShortPromptEngines(): void {
    this.limiter.removeExpired();
    this.limits.logChanges();
    for (const [service, scheduler] of this.schedulers) {
      const notification: ShortPromptEnginesUpdate = {
        service,
        engines: scheduler.getShortPromptEngines(),
      };
      this.entryLinks.forEach((link) => link.notify(METHODS.lightEngines, notification));
    }
  }

  private logDecision(request: string, decision: EngineDecision): void {
    this.options.logger.info({ request, decision }, 'placement decision');
  }
}

function toEngineJob(job: SentJob): EngineJob {
  return { ...job, parts: job.parts ?? [] };
}
