import type { UpstreamTable } from '@azurecart/discovery';
import { EngineScheduler } from '@azurecart/scheduling';
import type { EngineDecision, EngineJob } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { Configuration, Service } from '../configuration/index.js';
import type { CallHandler, Link } from '../links/index.js';
import { METHODS } from './messages.js';
import type { AdoptNotice, JobNotice, LightEnginesNotice, PlacedNotice } from './messages.js';

/** What the service needs. */
export interface PlacementServiceOptions {
  table: UpstreamTable;
  /** Gets the configuration that is in force. */
  getConfiguration: () => Configuration | undefined;
  logger: Logger;
}

interface KnownJob {
  scheduler: EngineScheduler;
  link: Link;
}

/** Milliseconds between two looks at queued jobs. */
const TICK_MS = 20;
/** Milliseconds between two notices of the engines that answer short prompts. */
const TELL_MS = 1000;

/**
 * Places prompts for the entry processes that ask this process.
 * @remarks Its knowledge is soft: entry processes tell each process that they choose what they
 * have running, and withdraw it when they choose another.
 */
export class PlacementService {
  private readonly schedulers = new Map<string, EngineScheduler>();

  private readonly jobs = new Map<string, KnownJob>();

  private readonly timers: NodeJS.Timeout[];

  /** Links on which jobs were told. */
  private readonly clients = new Set<Link>();

  private readonly followed = new WeakSet<Link>();

  constructor(private readonly options: PlacementServiceOptions) {
    this.timers = [
      setInterval(() => this.tick(), TICK_MS),
      setInterval(() => this.tellLightEngines(), TELL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
  }

  addHandlers(handlers: Map<string, CallHandler>): void {
    handlers.set(METHODS.place, (body, link) => this.place(body as EngineJob, link));
  }

  /** Follows what an entry process tells of its jobs. */
  follow(link: Link): void {
    if (this.followed.has(link)) return;
    this.followed.add(link);
    link.received.subscribe(({ method, body }) => {
      if (method === METHODS.adopt) this.adopt(body as AdoptNotice, link);
      else if (method === METHODS.progress) this.markWriting((body as JobNotice).id);
      else if (method === METHODS.release) this.release(body as JobNotice);
    });
    link.ended.then(() => {
      this.clients.delete(link);
      this.releaseAllOf(link);
    });
  }

  private place(job: EngineJob, link: Link): EngineDecision {
    const scheduler = this.getScheduler(job.service);
    if (!scheduler) throw new Error(`no engines known for service ${job.service}`);
    this.follow(link);
    scheduler.setEngines(this.options.table.getReady(job.service));
    const decision = scheduler.place(job);
    this.clients.add(link);
    if (decision.kind !== 'refused') this.jobs.set(job.id, { scheduler, link });
    if (decision.kind !== 'placed') this.log(job.id, decision);
    return decision;
  }

  private adopt({ job, upstream, helpers, isWriting }: AdoptNotice, link: Link): void {
    const scheduler = this.getScheduler(job.service);
    if (!scheduler || this.jobs.has(job.id)) return;
    scheduler.setEngines(this.options.table.getReady(job.service));
    this.clients.add(link);
    scheduler.adopt(job, upstream, helpers, isWriting);
    this.jobs.set(job.id, { scheduler, link });
  }

  private markWriting(id: string): void {
    this.jobs.get(id)?.scheduler.markWriting(id);
  }

  private release({ id, ending, culprit }: JobNotice): void {
    const known = this.jobs.get(id);
    if (!known) return;
    this.jobs.delete(id);
    known.scheduler.release(id, ending, culprit);
  }

  private releaseAllOf(link: Link): void {
    for (const [id, known] of this.jobs) if (known.link === link) this.release({ id });
  }

  private getScheduler(service: string): EngineScheduler | undefined {
    const known = this.schedulers.get(service);
    if (known) return known;
    const pace = this.getService(service)?.engine;
    if (!pace) return undefined;
    const scheduler = new EngineScheduler({
      pace,
      now: () => performance.now(),
      onDecided: (id, decision) => this.tell(id, decision),
    });
    this.schedulers.set(service, scheduler);
    return scheduler;
  }

  private getService(name: string): Service | undefined {
    return this.options.getConfiguration()?.services.find((service) => service.name === name);
  }

  private tell(id: string, decision: EngineDecision): void {
    const notice: PlacedNotice = { id, decision };
    this.jobs.get(id)?.link.notify(METHODS.placed, notice);
    if (decision.kind === 'refused') this.jobs.delete(id);
    this.log(id, decision);
  }

  private tick(): void {
    for (const scheduler of this.schedulers.values()) {
      if (scheduler.queueLength > 0) scheduler.decideQueued();
    }
  }

  private tellLightEngines(): void {
    for (const [service, scheduler] of this.schedulers) {
      const notice: LightEnginesNotice = { service, engines: scheduler.getLightEngines() };
      this.clients.forEach((link) => link.notify(METHODS.lightEngines, notice));
    }
  }

  private log(request: string, decision: EngineDecision): void {
    this.options.logger.info({ request, decision }, 'placement');
  }
}
