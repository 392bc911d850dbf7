import type { UpstreamRecord } from '@azurecart/discovery';
import type { JobEnding } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { Route, RoutingTable } from '../configuration/index.js';
import type { UpstreamAgent } from '../upstreams/index.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import { BodyTooLong } from './BodyTooLong.js';
import { ClientGone } from './ClientGone.js';
import type { EntryMetrics } from './EntryMetrics.js';
import type { Exchange } from './Exchange.js';
import { Job } from './Job.js';
import { getPatience } from './Patience.js';
import { JointMemory, LivenessWatch, OrderClient } from './memory/index.js';
import type { PlacedHelper, Placer, Reservation } from './Placement.js';
import type { SharedRetryBudget } from './SharedRetryBudget.js';
import { UpstreamAttempt } from './UpstreamAttempt.js';
import type { UpstreamHealth } from './UpstreamHealth.js';
import type { RequestTerms, Wire } from './Wire.js';
import { sendWhole } from './wholeAnswers.js';

/** What every request's task uses. */
export interface RequestTaskOptions {
  wire: Wire;
  placer: Placer;
  health: UpstreamHealth;
  agent: UpstreamAgent;
  metrics: EntryMetrics;
  getBudget: (service: string) => SharedRetryBudget;
  random: () => number;
  /** Milliseconds that are left before the process ends; infinite while it is not leaving. */
  getTimeToLive: () => number;
  logger: Logger;
}

/** An outcome that is not the end of the answer. */
type OpenOutcome = Exclude<AttemptOutcome, { kind: 'done' }>;

/** Sends beyond the attempts that may run, for upstreams that state they did not run a request. */
const EXTRA_SENDS = 3;
/** Milliseconds after which a client may come back when nothing better is known. */
const RETRY_AFTER_MS = 300;
/** Milliseconds after which a client may come back to a process that has just started. */
const START_RETRY_AFTER_MS = 1200;
/** Milliseconds after which a client may come back to another process. */
const LEAVING_RETRY_AFTER_MS = 50;
/** Milliseconds that a leaving process must have left to take a stream, or another request. */
const STREAM_RUN_MS = 4000;
const CALL_RUN_MS = 1000;

/** Serves one request from its head to its last byte. */
export class RequestTask {
  private readonly orders: OrderClient;

  constructor(private readonly options: RequestTaskOptions) {
    const { wire, agent, logger } = options;
    this.orders = new OrderClient({ wire, agent, logger });
  }

  /** Runs the task; it never rejects. */
  async run(exchange: Exchange, routing: RoutingTable | undefined): Promise<void> {
    try {
      await this.serve(exchange, routing);
    } catch (error) {
      if (error instanceof ClientGone) return;
      if (error instanceof BodyTooLong) exchange.reply(413, error.message);
      else {
        this.options.logger.error({ err: error }, 'request task failed');
        exchange.reply(500, 'internal error');
      }
    }
  }

  private async serve(exchange: Exchange, routing: RoutingTable | undefined): Promise<void> {
    const { wire, getTimeToLive, random } = this.options;
    const { request } = exchange;
    const terms = wire.readRequest(request.headers);
    if (!routing) {
      this.refuse(exchange, terms, 503, 'no configuration yet', START_RETRY_AFTER_MS);
      return;
    }
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    const route = routing.getRoute(request.headers.host ?? '', path);
    if (!route) {
      this.refuse(exchange, terms, 404, 'no route');
      return;
    }
    const customer = terms.key === undefined ? undefined : routing.getCustomer(terms.key);
    if (routing.needsKeys && !route.isPublic && !customer) {
      this.refuse(exchange, terms, 401, 'unknown key');
      return;
    }
    const body = await exchange.readBody(routing.configuration.limits.maxBodyBytes);
    if (getTimeToLive() < getLongestRun(route)) {
      this.refuse(exchange, terms, 503, 'not run: process is leaving', LEAVING_RETRY_AFTER_MS);
      return;
    }
    const service = chooseService(route, random());
    const job = new Job({ exchange, terms, route, service, customer, body });
    this.options.getBudget(service).addRequest();
    try {
      const outcome = await this.attempt(job);
      this.record(job, outcome, routing.version);
    } finally {
      job.close();
    }
  }

  /** Answers without a job, and reads the body off so that the connection can go on. */
  private refuse(
    exchange: Exchange,
    terms: RequestTerms,
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): void {
    exchange.request.resume();
    exchange.reply(status, reason, retryAfterMs);
    this.options.metrics.addRequest('none', String(status), exchange.elapsedMs);
    this.options.logger.info({ request: terms.attemptId, status, reason }, 'request refused');
  }

  private async attempt(job: Job): Promise<AttemptOutcome> {
    for (;;) {
      const outcome = await this.attemptOnce(job);
      if (outcome.kind === 'done' || job.exchange.left.aborted) return outcome;
      this.options.logger.info(
        {
          request: job.attemptId,
          outcome: outcome.kind,
          reason: outcome.reason,
          runs: job.runs,
          elapsedMs: Math.round(job.exchange.elapsedMs),
        },
        'attempt failed',
      );
      if (!this.mayRetry(job, outcome)) {
        finish(job, outcome);
        return outcome;
      }
    }
  }

  private mayRetry(job: Job, outcome: OpenOutcome): boolean {
    const { maxAttempts } = job.route;
    if (outcome.kind === 'refused' || job.signal.aborted) return false;
    if (job.runs > 0 && !job.isRepeatable) return false;
    if (job.runs >= maxAttempts || job.sends >= maxAttempts + EXTRA_SENDS) return false;
    return job.useRetry() || this.options.getBudget(job.service).takeRetry();
  }

  /** Takes a retry ahead of its use, so that nothing is given up that could not go elsewhere. */
  private takeRetry(job: Job): boolean {
    const isTaken = this.options.getBudget(job.service).takeRetry();
    if (isTaken) job.keepRetry();
    return isTaken;
  }

  private async attemptOnce(job: Job): Promise<AttemptOutcome> {
    const { placer, wire, health, agent } = this.options;
    const request = job.getPlacementRequest();
    const placement = await placer.place(request, job.signal);
    if (placement.kind === 'refused') return placement;
    const { upstream, helpers, jobId, expectedMs, isScheduled = false } = placement;
    job.addPlacement({ upstream: upstream.id, helpers: helpers.length, isScheduled, expectedMs });
    const reserved = placer.reserve(request, upstream, jobId);
    const memory = job.signal.aborted
      ? undefined
      : await this.takeMemory(job, upstream.id, helpers);
    if (!memory || job.signal.aborted) {
      memory?.release();
      reserved.release('orderly');
      const reason = job.signal.aborted ? String(job.signal.reason) : 'engine memory not granted';
      return { kind: 'notRun', reason };
    }
    const reservation = this.watchFirstEvent(job, reserved, expectedMs);
    const silenced = new AbortController();
    const watch = this.watchLiveness(memory, upstream, silenced);
    let ending: JobEnding = 'orderly';
    let culprit: string | undefined;
    try {
      const addresses = helpers.map(({ upstream: { address } }) => ({
        address,
        ticket: memory.getTicket(address),
      }));
      const patience = mayMove(job) ? getPatience(job.route, expectedMs) : undefined;
      const parts = {
        wire,
        health,
        agent,
        job,
        upstream,
        helpers: addresses,
        reservation,
        patience,
        silenced: silenced.signal,
        takeRetry: () => this.takeRetry(job),
      };
      const outcome = await new UpstreamAttempt(parts).run();
      if (!job.signal.aborted) ending = getEnding(outcome);
      if (outcome.kind === 'notRun') culprit = getCulprit(outcome, upstream.id, helpers);
      if (culprit) job.exclude(culprit);
      return outcome;
    } finally {
      watch?.stop();
      reserved.release(ending, culprit);
      memory.release();
    }
  }

  /** Watches the engine that leads a prompt of several; others need no watch. */
  private watchLiveness(
    memory: JointMemory,
    upstream: UpstreamRecord,
    silenced: AbortController,
  ): LivenessWatch | undefined {
    if (memory.isEmpty) return undefined;
    const { orders } = this;
    const onSilent = (): void => silenced.abort();
    const watch = new LivenessWatch({ upstream, orders, onSilent });
    watch
      .run()
      .catch((error: unknown) => this.options.logger.error({ err: error }, 'watch failed'));
    return watch;
  }

  private async takeMemory(
    job: Job,
    upstreamId: string,
    helpers: PlacedHelper[],
  ): Promise<JointMemory | undefined> {
    const { logger } = this.options;
    const memory = await JointMemory.take({ helpers, orders: this.orders, logger });
    if (!memory) job.addFailedPlacement(upstreamId);
    return memory;
  }

  /** Passes the first event of an attempt on to the reservation and the metrics. */
  private watchFirstEvent(
    job: Job,
    reserved: Reservation,
    expectedMs: number | undefined,
  ): Reservation {
    const { metrics } = this.options;
    const sentAt = performance.now();
    let hasEvent = false;
    return {
      release: (ending, culprit) => reserved.release(ending, culprit),
      addProgress: () => {
        job.addProgress();
        if (hasEvent) return;
        hasEvent = true;
        reserved.addProgress();
        const observedMs = performance.now() - sentAt;
        job.addFirstEvent(observedMs);
        metrics.addFirstEvent(job.priority, job.exchange.elapsedMs);
        if (expectedMs !== undefined) metrics.addPrediction(expectedMs, observedMs);
      },
    };
  }

  private record(job: Job, outcome: AttemptOutcome, version: number): void {
    const { metrics, logger } = this.options;
    const result = job.exchange.left.aborted ? 'left' : outcome.kind;
    metrics.addRequest(job.route.kind, result, job.exchange.elapsedMs);
    logger.info(
      {
        request: job.attemptId,
        route: job.route.name,
        customer: job.customerName,
        version,
        outcome: result,
        status: job.exchange.response.statusCode,
        promptTokens: job.promptTokens,
        ...job.lastPlacement,
        firstEventMs: round(job.firstEventMs),
        observedMs: round(job.observedMs),
        longestPauseMs: round(job.longestPauseMs),
        sends: job.sends,
        runs: job.runs,
        elapsedMs: round(job.exchange.elapsedMs),
      },
      'request ended',
    );
  }
}

/** True when a request whose upstream falls silent may go to another one. */
function mayMove(job: Job): boolean {
  return job.isRepeatable && job.runs + 1 < job.route.maxAttempts;
}

/** Tells what an outcome says of the upstream. */
function getEnding(outcome: AttemptOutcome): JobEnding {
  if (outcome.kind === 'done') return 'orderly';
  if (outcome.kind === 'notRun') return outcome.isGone ? 'broken' : 'failed';
  return outcome.kind === 'unknown' ? 'broken' : 'failed';
}

/** Gets the helper that an upstream names as the reason why it did not run a request. */
function getCulprit(
  { faulty }: { faulty?: string },
  upstreamId: string,
  helpers: PlacedHelper[],
): string | undefined {
  const named = helpers.find(({ upstream: { id, address } }) =>
    [id, address].includes(faulty ?? ''),
  );
  return named && named.upstream.id !== upstreamId ? named.upstream.id : undefined;
}

/** Gives the final answer when no further attempt is made. */
function finish(job: Job, outcome: OpenOutcome): void {
  const { exchange } = job;
  if (outcome.kind === 'failed') sendWhole(exchange, outcome.answer);
  else if (exchange.response.headersSent) exchange.cut();
  else if (job.runs === 0) {
    const retryAfterMs = outcome.kind === 'refused' ? outcome.retryAfterMs : RETRY_AFTER_MS;
    exchange.reply(503, `not run: ${outcome.reason}`, retryAfterMs);
  } else exchange.reply(job.signal.aborted ? 504 : 502, outcome.reason);
}

function round(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Gets the milliseconds that requests of a route may need while a process is leaving. */
function getLongestRun(route: Route): number {
  return route.kind === 'stream' ? Math.min(STREAM_RUN_MS, route.timeoutMs) : CALL_RUN_MS;
}

/** Draws a service by the weights of the route. */
function chooseService(route: Route, random: number): string {
  const total = route.backends.reduce((sum, backend) => sum + backend.weight, 0);
  let left = random * total;
  for (const backend of route.backends) {
    left -= backend.weight;
    if (left < 0 && backend.weight > 0) return backend.service;
  }
  return route.backends.find((backend) => backend.weight > 0)?.service ?? '';
}
