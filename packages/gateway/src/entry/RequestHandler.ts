import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamRecord } from '@azurecart/discovery';
import { Handover } from '@azurecart/scheduling';
import type { JobEnding, MemoryBudget } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { Route, RoutingTable } from '../configuration/index.js';
import { BodyTooLargeError, OutOfMemoryError } from '../upstreams/index.js';
import type { UpstreamAgent } from '../upstreams/index.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import { AttemptPreparer } from './AttemptPreparer.js';
import type { Findings } from '../findings/index.js';
import { BodyTimeoutError } from './BodyTimeoutError.js';
import { ClientDisconnectedError } from './ClientDisconnectedError.js';
import { CrashDetector } from './CrashDetector.js';
import type { EntryMetrics } from './EntryMetrics.js';
import type { Exchange } from './Exchange.js';
import type { ProcessLifetime, RequestDuration } from './ProcessLifetime.js';
import { RefusalLog } from './RefusalLog.js';
import { RequestContext } from './RequestContext.js';
import { getAttemptTimeouts } from './AttemptTimeouts.js';
import { LivenessMonitor, EngineCommandClient } from './memory/index.js';
import type { PlacedHelper, Placer, PlacementHandle } from './Placement.js';
import { PreparedAttempt } from './PreparedAttempt.js';
import type { RetryBudgetShare } from './RetryBudgetShare.js';
import { RouteDurations } from './RouteDurations.js';
import type { SharedCapacity } from './SharedCapacity.js';
import { UpstreamAttempt } from './UpstreamAttempt.js';
import type { UpstreamHealth } from './UpstreamHealth.js';
import type { UpstreamStatements } from './UpstreamStatements.js';
import type { RequestMetadata, EntryProtocol } from './EntryProtocol.js';
import { sendBufferedResponse } from './bufferedResponse.js';

/** Dependencies shared by all requests. */
export interface RequestHandlerOptions {
  protocol: EntryProtocol;
  placer: Placer;
  health: UpstreamHealth;
  findings: Findings;
  statements: UpstreamStatements;
  /** Learns the durations of plain requests; without it, they are not recorded. */
  capacity?: SharedCapacity;
  agent: UpstreamAgent;
  metrics: EntryMetrics;
  getRetryBudget: (service: string) => RetryBudgetShare;
  random: () => number;
  lifetime: ProcessLifetime;
  /** Memory for the bodies of requests. */
  requestMemory: MemoryBudget;
  /** Memory for the bodies of responses that are relayed as a whole. */
  responseMemory: MemoryBudget;
  logger: Logger;
}

/** An outcome that leaves the client without a complete response. */
type IncompleteOutcome = Exclude<AttemptOutcome, { kind: 'done' }>;

/** The end of an attempt. */
interface AttemptEnd {
  outcome: AttemptOutcome;
  /** The attempt that takes the request over, with a retry taken from the budget. */
  successor?: PreparedAttempt;
}

/**
 * Attempts allowed beyond `maxAttempts`, for those that certainly did not execute the request: the
 * upstream states so, the connection was not established, or a helper did not grant memory.
 */
const EXTRA_ATTEMPTS = 3;
/** Milliseconds in which another place is sought for a prompt whose engine does not respond. */
const LAST_SEARCH_MS = 1000;
/** Milliseconds for which a request waits until its upstream is known to have ended. */
const CRASH_CHECK_MS = 50;
/** Delay in milliseconds before a client may retry a request that no upstream has executed. */
const NOT_RUN_RETRY_AFTER_MS = 300;
/** Delay before a client may retry on a process that has just started, in milliseconds. */
const STARTUP_RETRY_AFTER_MS = 1200;
/** Delay before a client may retry when there is no memory for its body, in milliseconds. */
const NO_MEMORY_RETRY_AFTER_MS = 500;
/** Share of the time limit of a request for which its body may wait for memory. */
const BODY_WAIT_SHARE = 1 / 3;
/** Delay before a client may retry on another process when this one shuts down, in milliseconds. */
const SHUTDOWN_RETRY_AFTER_MS = 50;
/**
 * Expected duration of a request whose route has few samples, as a multiple of the route's latency
 * objective. The objective of a stream applies to its first event only.
 */
const OBJECTIVE_FACTOR = 2;

/** Handles client requests: routing, authentication, attempts at upstreams and the final response. */
export class RequestHandler {
  private readonly commandClient: EngineCommandClient;

  private readonly preparer: AttemptPreparer;

  private readonly durations = new RouteDurations();

  private readonly crashDetector = new CrashDetector();

  private readonly refusalLog: RefusalLog;

  private readonly openContexts = new Set<RequestContext>();

  constructor(private readonly options: RequestHandlerOptions) {
    const { protocol, placer, agent, statements, logger } = options;
    this.commandClient = new EngineCommandClient({ protocol, agent, statements, logger });
    this.refusalLog = new RefusalLog({ logger });
    const { commandClient } = this;
    this.preparer = new AttemptPreparer({ placer, statements, commandClient, logger });
  }

  /** Handles one request; never rejects. */
  async run(exchange: Exchange, routing: RoutingTable | undefined): Promise<void> {
    try {
      await this.serve(exchange, routing);
    } catch (error) {
      if (error instanceof ClientDisconnectedError) return;
      if (error instanceof BodyTooLargeError) {
        exchange.request.resume();
        exchange.sendError(413, error.message);
      } else {
        this.options.logger.error({ err: error }, 'request handler failed');
        exchange.sendError(500, 'internal error');
      }
    }
  }

  /**
   * Ends all requests that are being served, because the process exits: those without a response
   * are answered, and the connections of the others are closed.
   */
  abortOpenRequests(): void {
    this.openContexts.forEach((context) => context.abort(new Error('process exits')));
  }

  private async serve(exchange: Exchange, routing: RoutingTable | undefined): Promise<void> {
    const { protocol, lifetime, random } = this.options;
    const { request } = exchange;
    const metadata = protocol.parseRequestHeaders(request.headers);
    if (!routing) {
      this.reject(exchange, metadata, 503, 'no configuration yet', STARTUP_RETRY_AFTER_MS);
      return;
    }
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    const route = routing.getRoute(request.headers.host ?? '', path);
    if (!route) {
      this.reject(exchange, metadata, 404, 'no route');
      return;
    }
    const customer = metadata.key === undefined ? undefined : routing.getCustomer(metadata.key);
    if (routing.requiresApiKeys && !route.isPublic && !customer) {
      this.reject(exchange, metadata, 401, 'unknown key');
      return;
    }
    const body = await this.readBody(exchange, metadata, route, routing);
    if (!body) return;
    const service = chooseService(route, random());
    const context = new RequestContext({
      exchange,
      metadata,
      route,
      service,
      customer,
      body,
      lifetime,
    });
    this.openContexts.add(context);
    try {
      if (!lifetime.canServe(this.getDuration(context))) {
        const reason = 'not run: process is leaving';
        this.reject(exchange, metadata, 503, reason, SHUTDOWN_RETRY_AFTER_MS);
        return;
      }
      this.options.getRetryBudget(service).addRequest();
      const outcome = await this.runAttempts(context);
      this.recordOutcome(context, outcome, routing.version);
    } finally {
      this.openContexts.delete(context);
      context.close();
    }
  }

  /** Reads the body of a request; undefined if the request was rejected, as it cannot be read. */
  private async readBody(
    exchange: Exchange,
    metadata: RequestMetadata,
    route: Route,
    { configuration: { limits } }: RoutingTable,
  ): Promise<Buffer | undefined> {
    try {
      const limitMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
      return await exchange.readBody({
        maxBytes: limits.maxBodyBytes,
        limitMs,
        waitMs: limitMs * BODY_WAIT_SHARE,
        budget: this.options.requestMemory,
      });
    } catch (error) {
      if (error instanceof OutOfMemoryError)
        this.reject(exchange, metadata, 503, `not run: ${error.message}`, NO_MEMORY_RETRY_AFTER_MS);
      else if (error instanceof BodyTimeoutError)
        this.reject(exchange, metadata, 408, `not run: ${error.message}`);
      else throw error;
      return undefined;
    }
  }

  /**
   * Rejects a request before any attempt; drains its body so that the connection can be reused.
   * @remarks In the request counter, the outcome of a rejected request is the HTTP status, and its
   * kind is `none` because no route was applied. Other requests are counted by the kinds of the
   * route and of the outcome.
   */
  private reject(
    exchange: Exchange,
    metadata: RequestMetadata,
    status: number,
    reason: string,
    retryAfterMs?: number,
  ): void {
    exchange.request.resume();
    exchange.sendError(status, reason, retryAfterMs);
    this.options.metrics.recordRequest('none', String(status), exchange.elapsedMs);
    this.refusalLog.record({ request: metadata.clientAttemptId, status, reason });
  }

  private async runAttempts(context: RequestContext): Promise<AttemptOutcome> {
    let prepared: PreparedAttempt | undefined;
    for (;;) {
      const { outcome, successor } = await this.runAttempt(context, prepared);
      if (outcome.kind === 'done' || context.exchange.disconnectSignal.aborted) return outcome;
      // Includes refusals of the placer, where no request was sent.
      this.options.logger.info(
        {
          request: context.clientAttemptId,
          outcome: outcome.kind,
          reason: outcome.reason,
          abortedBy: context.signal.aborted ? String(context.signal.reason) : undefined,
          runs: context.runs,
          upstream: context.lastPlacement?.upstream,
          parts: context.parts,
          lastEventId: context.lastEventId,
          elapsedMs: Math.round(context.exchange.elapsedMs),
        },
        'attempt or placement failed',
      );
      if (!successor && !this.mayRetry(context, outcome)) {
        sendFinalResponse(context, outcome);
        return outcome;
      }
      prepared = successor;
    }
  }

  private getDuration({ deadlineMs, route }: RequestContext): RequestDuration {
    const expectedMs =
      this.durations.getUsualMs(route.name) ?? route.objectiveMs * OBJECTIVE_FACTOR;
    return { deadlineMs, expectedMs };
  }

  private mayRetry(context: RequestContext, outcome: IncompleteOutcome): boolean {
    const { maxAttempts } = context.route;
    if (outcome.kind === 'refused' || context.signal.aborted) return false;
    if (context.runs > 0 && !context.isRetryable) return false;
    if (context.runs >= maxAttempts || context.attempts >= maxAttempts + EXTRA_ATTEMPTS)
      return false;
    return this.options.getRetryBudget(context.service).takeRetry();
  }

  /** Creates the handover of an attempt to another upstream, which costs one retry. */
  private createHandover(
    context: RequestContext,
    onReserved: () => void,
  ): Handover<PreparedAttempt> {
    const { getRetryBudget, metrics, logger } = this.options;
    const budget = getRetryBudget(context.service);
    const reserve = async (search: AbortSignal): Promise<PreparedAttempt | undefined> => {
      if (!budget.takeRetry()) return undefined;
      const signal = AbortSignal.any([search, context.signal]);
      const prepared = await this.preparer.prepare(context, signal).catch((error: unknown) => {
        logger.error({ err: error }, 'search for another upstream failed');
        return { reason: String(error) };
      });
      const isReserved = prepared instanceof PreparedAttempt;
      metrics.recordHandover(isReserved ? 'reserved' : 'none');
      logger.info(
        {
          request: context.clientAttemptId,
          upstream: context.lastPlacement?.upstream,
          successor: isReserved ? prepared.options.upstream.id : undefined,
          reason: isReserved ? undefined : prepared.reason,
          quietMs: roundMs(context.quietMs),
        },
        'attempt stalls',
      );
      if (isReserved) return prepared;
      budget.returnRetry();
      return undefined;
    };
    const release = (prepared: PreparedAttempt): void => {
      prepared.release();
      budget.returnRetry();
    };
    return new Handover({ reserve, release, onReserved });
  }

  private async runAttempt(
    context: RequestContext,
    successor: PreparedAttempt | undefined,
  ): Promise<AttemptEnd> {
    const prepared = successor ?? (await this.preparer.prepare(context, context.signal));
    if (!(prepared instanceof PreparedAttempt)) return { outcome: prepared };
    if (context.runs === 0 && !this.options.lifetime.canFinish(this.getDuration(context))) {
      prepared.release();
      const reason = 'process is leaving';
      return { outcome: { kind: 'refused', reason, retryAfterMs: SHUTDOWN_RETRY_AFTER_MS } };
    }
    const { upstream, helpers, handle, memory, expectedMs, isScheduled } = prepared.options;
    context.recordPlacement({
      upstream: upstream.id,
      helpers: helpers.length,
      isScheduled,
      expectedMs,
    });
    const mayHandOver = canHandOver(context);
    const abandonment = new AbortController();
    const handover = this.createHandover(context, () => abandonment.abort());
    const monitor = this.monitorLiveness(context, prepared, async () => {
      if (mayHandOver) await Promise.race([handover.begin(), sleep(LAST_SEARCH_MS)]);
      if (context.quietMs < LAST_SEARCH_MS) return false;
      abandonment.abort();
      return true;
    });
    let ending: JobEnding = 'orderly';
    let faultyHelperId: string | undefined;
    try {
      const { protocol, health, statements, agent, responseMemory } = this.options;
      const { lastEventId } = context;
      const sentAt = performance.now();
      const outcome = await new UpstreamAttempt({
        protocol,
        health,
        statements,
        agent,
        responseMemory,
        context,
        upstream,
        helpers: helpers.map(({ upstream: { address } }) => ({
          address,
          ticket: memory.getTicket(address),
        })),
        handle: this.observeEvents(context, handle, expectedMs, () => handover.cancel()),
        timeouts: mayHandOver
          ? getAttemptTimeouts(context.route, expectedMs, context.remainingMs)
          : undefined,
        abandoned: abandonment.signal,
        beginHandover: () => handover.begin(),
      }).run();
      if (outcome.kind === 'done') this.recordDuration(context, upstream, sentAt);
      if (!context.signal.aborted) ending = getEnding(outcome);
      if (ending === 'broken') statements.recordBreak(upstream);
      if (outcome.kind === 'unknown' && context.lastEventId === lastEventId)
        await this.recordCrash(context, upstream, sentAt);
      if (outcome.kind === 'notRun')
        faultyHelperId = getFaultyHelper(outcome, upstream.id, helpers);
      if (faultyHelperId) context.exclude(faultyHelperId);
      const isOver = outcome.kind === 'done' || context.signal.aborted;
      return { outcome, successor: isOver ? undefined : handover.take() };
    } finally {
      monitor?.stop();
      handover.close();
      prepared.release(ending, faultyHelperId);
    }
  }

  /**
   * Records how long an upstream took, unless the response is a stream of any length or the upstream
   * has named a limit, which explains a delay.
   */
  private recordDuration(
    { route, upstreamLimit }: RequestContext,
    upstream: UpstreamRecord,
    sentAt: number,
  ): void {
    if (route.kind === 'stream' || upstreamLimit !== undefined) return;
    const ms = performance.now() - sentAt;
    this.options.capacity?.recordDuration({ upstream, kind: route.name, ms });
  }

  /**
   * Records that an upstream has ended if it has, before the request is placed again. Waits only
   * briefly, since others than ended upstreams may take long to show that they have not.
   */
  private async recordCrash(
    context: RequestContext,
    upstream: UpstreamRecord,
    sentAt: number,
  ): Promise<void> {
    const { findings, logger } = this.options;
    const { parts } = context;
    if (parts.length === 0 || context.signal.aborted) return;
    const recording = this.crashDetector.hasEnded(upstream).then((hasEnded) => {
      if (!hasEnded) return;
      const request = context.clientAttemptId;
      logger.info({ request, upstream: upstream.id, parts }, 'engine ended before the first event');
      findings.recordCrash(`${upstream.id}@${upstream.bornAt}`, parts, sentAt);
    });
    await Promise.race([recording, sleep(CRASH_CHECK_MS)]);
  }

  /** Monitors the engine to which a prompt was sent, if other engines hold memory for it. */
  private monitorLiveness(
    context: RequestContext,
    { options: { memory, upstream } }: PreparedAttempt,
    onUnresponsive: () => Promise<boolean>,
  ): LivenessMonitor | undefined {
    if (memory.isEmpty) return undefined;
    const monitor = new LivenessMonitor({
      upstream,
      commandClient: this.commandClient,
      getQuietMs: () => context.quietMs,
      onUnresponsive,
    });
    monitor
      .run()
      .catch((error: unknown) =>
        this.options.logger.error({ err: error }, 'liveness monitor failed'),
      );
    return monitor;
  }

  /**
   * Wraps a handle so that all events of the attempt are recorded in the context. The first one is
   * also reported to the placer and to the metrics.
   */
  private observeEvents(
    context: RequestContext,
    handle: PlacementHandle,
    expectedMs: number | undefined,
    onProgress: () => void,
  ): PlacementHandle {
    const { metrics, findings } = this.options;
    const sentAt = performance.now();
    let hasEvent = false;
    return {
      release: (ending, faultyHelperId) => handle.release(ending, faultyHelperId),
      reportProgress: () => {
        context.recordEvents();
        onProgress();
        if (hasEvent) return;
        hasEvent = true;
        handle.reportProgress();
        findings.recordAnswer(context.parts);
        const observedMs = performance.now() - sentAt;
        context.recordFirstEvent(observedMs);
        metrics.recordFirstEvent(context.priority, context.exchange.elapsedMs);
        if (expectedMs !== undefined) metrics.recordPredictionRatio(expectedMs, observedMs);
      },
    };
  }

  private recordOutcome(context: RequestContext, outcome: AttemptOutcome, version: number): void {
    const { metrics, logger } = this.options;
    // 'left' means that the client disconnected before the response was complete.
    const result = context.exchange.disconnectSignal.aborted ? 'left' : outcome.kind;
    metrics.recordRequest(context.route.kind, result, context.exchange.elapsedMs);
    if (result === 'done') this.durations.record(context.route.name, context.exchange.elapsedMs);
    logger.info(
      {
        request: context.clientAttemptId,
        route: context.route.name,
        customer: context.customerName,
        version,
        outcome: result,
        status: context.exchange.response.statusCode,
        promptTokens: context.promptTokens,
        ...context.lastPlacement,
        upstreamLimit: context.upstreamLimit,
        firstEventMs: roundMs(context.firstEventMs),
        observedMs: roundMs(context.observedMs),
        longestPauseMs: roundMs(context.longestPauseMs),
        sends: context.attempts,
        runs: context.runs,
        elapsedMs: roundMs(context.exchange.elapsedMs),
      },
      'request ended',
    );
  }
}

/** True if a request whose upstream stalls may go on at another one. */
function canHandOver(context: RequestContext): boolean {
  return context.isRetryable && context.runs + 1 < context.route.maxAttempts;
}

/**
 * Maps an outcome to the ending that is reported to the scheduler: `broken` if the upstream was
 * unreachable or it is unknown whether it executed the request, `failed` for other failures, and
 * `orderly` for a complete response.
 */
function getEnding(outcome: AttemptOutcome): JobEnding {
  if (outcome.kind === 'done') return 'orderly';
  if (outcome.kind === 'notRun') return outcome.isUnreachable ? 'broken' : 'failed';
  return outcome.kind === 'unknown' ? 'broken' : 'failed';
}

/** Gets the helper that an upstream names as the reason for not executing a request. */
function getFaultyHelper(
  { faultyUpstream }: { faultyUpstream?: string },
  upstreamId: string,
  helpers: PlacedHelper[],
): string | undefined {
  const named = helpers.find(({ upstream: { id, address } }) =>
    [id, address].includes(faultyUpstream ?? ''),
  );
  return named && named.upstream.id !== upstreamId ? named.upstream.id : undefined;
}

/** Sends the final response after the last failed attempt. */
function sendFinalResponse(context: RequestContext, outcome: IncompleteOutcome): void {
  const { exchange } = context;
  if (outcome.kind === 'failed') sendBufferedResponse(exchange, outcome.response);
  else if (exchange.response.headersSent) exchange.abort();
  else if (context.runs === 0) {
    const retryAfterMs = outcome.kind === 'refused' ? outcome.retryAfterMs : NOT_RUN_RETRY_AFTER_MS;
    exchange.sendError(503, `not run: ${outcome.reason}`, retryAfterMs);
  } else exchange.sendError(context.signal.aborted ? 504 : 502, outcome.reason);
}

function roundMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Picks a service at random according to the weights of the route. */
function chooseService(route: Route, random: number): string {
  const total = route.backends.reduce((sum, backend) => sum + backend.weight, 0);
  let left = random * total;
  for (const backend of route.backends) {
    left -= backend.weight;
    if (left < 0 && backend.weight > 0) return backend.service;
  }
  return route.backends.find((backend) => backend.weight > 0)?.service ?? '';
}
