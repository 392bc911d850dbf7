import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Registry } from 'prom-client';
import type { Ingress } from '@azurecart/ingress';
import { MemoryBudget } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import type { ConfigurationCodec } from '../configuration/index.js';
import {
  addIngressMetrics,
  createIngress,
  createMonitoringIngress,
  getClientLimits,
} from '../ingress/index.js';
import { listenAt } from '../links/index.js';
import type { EntrySettings } from '../settings/index.js';
import { UpstreamAgent } from '../upstreams/index.js';
import { ControlLinks } from './ControlLinks.js';
import { ShortPromptEngines } from './ShortPromptEngines.js';
import { EntryMetrics } from './EntryMetrics.js';
import { Exchange } from './Exchange.js';
import { ExchangeQueue } from './ExchangeQueue.js';
import { LeastLoadedPlacer } from './LeastLoadedPlacer.js';
import { PermitClient } from './PermitClient.js';
import { ProcessLifetime } from './ProcessLifetime.js';
import { RequestHandler } from './RequestHandler.js';
import { ScheduledPlacer } from './ScheduledPlacer.js';
import { SchedulerSelector } from './SchedulerSelector.js';
import { SharedCapacity } from './SharedCapacity.js';
import { StartupGate } from './StartupGate.js';
import { StartupTimes } from './StartupTimes.js';
import { RetryBudgetShare } from './RetryBudgetShare.js';
import { UpstreamHealth } from './UpstreamHealth.js';
import { UpstreamStatements } from './UpstreamStatements.js';
import { ClusterView } from './ClusterView.js';
import type { EntryProtocol } from './EntryProtocol.js';

export interface EntryNodeOptions {
  settings: EntrySettings;
  protocol: EntryProtocol;
  codec: ConfigurationCodec;
  logger: Logger;
}

/** Minimum time in ms for which connections are accepted once the readiness check fails. */
const DRAIN_MS = 3200;
const EXPIRY_INTERVAL_MS = 1000;
const POLL_INTERVAL_MS = 20;
const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1024 * 1024;
/** Interval in milliseconds between reports of the durations of requests. */
const CAPACITY_REPORT_INTERVAL_MS = 1000;
/** Share of the memory of the process for bodies of requests, kept until their responses end. */
const REQUEST_MEMORY_SHARE = 0.2;
/** Share of the memory of the process for bodies of responses. */
const RESPONSE_MEMORY_SHARE = 0.15;

/** An entry process: accepts client requests and proxies them to upstreams. */
export class EntryNode {
  private readonly view: ClusterView;

  private readonly controlLinks: ControlLinks;

  private readonly health = new UpstreamHealth();

  private readonly statements: UpstreamStatements;

  private readonly schedulers: SchedulerSelector;

  private readonly capacity: SharedCapacity;

  private readonly startupGate = new StartupGate();

  private readonly registry = new Registry();

  private readonly startupTimes: StartupTimes;

  private readonly agent = new UpstreamAgent();

  private readonly clientIngress: Ingress;

  private readonly clientServer: Server;

  private readonly monitoringServer: Server;

  private readonly requestHandler: RequestHandler;

  private readonly retryBudgets = new Map<string, RetryBudgetShare>();

  private readonly openExchanges = new Set<Exchange>();

  private readonly exchangeQueue = new ExchangeQueue();

  private readonly lifetime: ProcessLifetime;

  private readonly requestMemory: MemoryBudget;

  private readonly responseMemory: MemoryBudget;

  constructor(private readonly options: EntryNodeOptions) {
    const { settings, protocol, codec, logger } = options;
    const memoryBytes = settings.memoryMb * BYTES_PER_MB;
    this.requestMemory = new MemoryBudget({ maxBytes: memoryBytes * REQUEST_MEMORY_SHARE });
    this.responseMemory = new MemoryBudget({ maxBytes: memoryBytes * RESPONSE_MEMORY_SHARE });
    this.startupTimes = new StartupTimes({ registry: this.registry, logger });
    this.lifetime = new ProcessLifetime({ graceMs: settings.graceSeconds * MS_PER_SECOND });
    this.view = new ClusterView({ codec, logger });
    this.view.activations.subscribe(() => this.startupTimes.record('configuration'));
    this.statements = new UpstreamStatements({ view: this.view, logger });
    this.controlLinks = new ControlLinks({ settings, view: this.view, logger });
    const { linkPool } = this.controlLinks;
    this.schedulers = new SchedulerSelector({ view: this.view, linkPool });
    const { dataCentre } = settings;
    this.capacity = new SharedCapacity({ schedulers: this.schedulers, dataCentre });
    this.requestHandler = new RequestHandler({
      protocol,
      health: this.health,
      findings: this.view.findings,
      statements: this.statements,
      capacity: this.capacity,
      placer: this.createPlacer(),
      agent: this.agent,
      metrics: new EntryMetrics({
        registry: this.registry,
        view: this.view,
        getOpenRequestCount: () => this.openExchanges.size,
        getSlowUpstreamCount: () => this.capacity.slowCount,
        memory: { request: this.requestMemory, response: this.responseMemory },
      }),
      getRetryBudget: (service) => this.getRetryBudget(service),
      random: Math.random,
      lifetime: this.lifetime,
      requestMemory: this.requestMemory,
      responseMemory: this.responseMemory,
      logger,
    });
    this.clientIngress = createIngress({
      name: 'front',
      settings,
      logger,
      limits: {
        ...getClientLimits(() => this.view.routing?.configuration.limits),
        getServingDescriptors: () => this.agent.connectionCount,
      },
    });
    this.clientServer = createServer(this.clientIngress.serverOptions, (request, response) =>
      this.accept(request, response),
    );
    this.clientIngress.protect(this.clientServer);
    // No time limit for a whole request or for idle connections, which are closed by the peer, or
    // here at shutdown. Node's default limit for receiving the headers (60 s) still applies.
    this.clientServer.requestTimeout = 0;
    this.clientServer.keepAliveTimeout = 0;
    // Node.js ignores headers beyond a number silently; its limit on their size still applies.
    this.clientServer.maxHeadersCount = 0;
    const monitoringIngress = createMonitoringIngress({ name: 'readiness', settings, logger });
    this.monitoringServer = createServer(monitoringIngress.serverOptions, (request, response) =>
      this.handleMonitoringRequest(request, response),
    );
    monitoringIngress.protect(this.monitoringServer);
    addIngressMetrics(this.registry, { front: this.clientIngress, readiness: monitoringIngress });
  }

  /** Starts the listeners and the links to control processes. */
  async start(): Promise<void> {
    const { settings, logger } = this.options;
    this.controlLinks.start();
    await listenAt(this.clientServer, settings.front);
    this.startupTimes.record('listening');
    await listenAt(this.monitoringServer, settings.readiness);
    setInterval(() => this.expireUpstreams(), EXPIRY_INTERVAL_MS).unref();
    setInterval(() => this.capacity.report(), CAPACITY_REPORT_INTERVAL_MS).unref();
    logger.info({ front: settings.front, seeds: settings.seeds }, 'entry started');
  }

  /**
   * Shuts down gracefully: fails the readiness check, lets the load balancer drain this process,
   * completes open requests within the grace period, then closes the listeners.
   */
  async stop(): Promise<void> {
    const { lifetime, openExchanges } = this;
    const { logger } = this.options;
    lifetime.beginShutdown();
    logger.info({ open: openExchanges.size }, 'shutting down');
    const drainEndsAt = performance.now() + DRAIN_MS;
    while (lifetime.serviceMs > 0 && (openExchanges.size > 0 || performance.now() < drainEndsAt))
      await sleep(POLL_INTERVAL_MS);
    lifetime.endService();
    openExchanges.forEach((exchange) => this.logCutRequest(exchange));
    this.requestHandler.abortOpenRequests();
    // Lets the final responses be written, even if the event loop has fallen behind.
    do await sleep(POLL_INTERVAL_MS);
    while (openExchanges.size > 0 && lifetime.exitMs > 0);
    this.clientServer.close();
    this.monitoringServer.close();
    this.clientServer.closeIdleConnections();
    this.controlLinks.stop();
    logger.info({ open: openExchanges.size }, 'stopped');
  }

  /** Applies changed settings. */
  reload(settings: EntrySettings): void {
    this.controlLinks.reload(settings);
    this.options.logger.info({ seeds: settings.seeds }, 'settings reloaded');
  }

  private createPlacer(): ScheduledPlacer {
    const { view, health, statements, schedulers, capacity, startupGate } = this;
    const { dataCentre } = this.options.settings;
    const { logger } = this.options;
    const shortPromptEngines = new ShortPromptEngines(view);
    return new ScheduledPlacer({
      view,
      schedulers,
      shortPromptEngines,
      statements,
      fallback: new LeastLoadedPlacer({
        view,
        health,
        statements,
        shortPromptEngines,
        startupGate,
        permits: new PermitClient({ view, schedulers, logger }),
        dataCentre,
        capacity,
      }),
      dataCentre,
      logger,
    });
  }

  private logCutRequest({ request, response, elapsedMs }: Exchange): void {
    const { protocol, logger } = this.options;
    const { clientAttemptId } = protocol.parseRequestHeaders(request.headers);
    logger.warn(
      {
        request: clientAttemptId,
        elapsedMs: Math.round(elapsedMs),
        hasResponse: response.headersSent,
      },
      'request ended by shutdown',
    );
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const exchange = new Exchange(
      request,
      response,
      () => this.lifetime.isShuttingDown || this.clientIngress.isClosing(request.socket),
    );
    this.openExchanges.add(exchange);
    const remove = (): boolean => this.openExchanges.delete(exchange);
    response.once('close', remove);
    // A response that waits behind others on its connection does not emit `close`.
    exchange.disconnectSignal.addEventListener('abort', remove);
    this.serve(exchange).catch((error: unknown) =>
      this.options.logger.error({ err: error }, 'request could not be handled'),
    );
  }

  private async serve(exchange: Exchange): Promise<void> {
    if (!(await this.exchangeQueue.waitForTurn(exchange))) return;
    const { view, startupGate } = this;
    const routing =
      view.routing ?? (await startupGate.wait(() => view.routing, exchange.disconnectSignal));
    await this.requestHandler.run(exchange, routing);
    const { headersSent, statusCode } = exchange.response;
    if (headersSent && statusCode === 200) this.startupTimes.record('firstAnswer');
  }

  private handleMonitoringRequest(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const isReadinessPath = request.url === this.options.protocol.readinessPath;
    if (isReadinessPath) response.writeHead(this.isReady() ? 200 : 503).end();
    else if (request.url === '/metrics') this.sendMetrics(response);
    else response.writeHead(404).end();
  }

  private sendMetrics(response: ServerResponse): void {
    this.registry
      .metrics()
      .then((text) => response.writeHead(200, { 'content-type': 'text/plain' }).end(text))
      .catch(() => response.destroy());
  }

  private isReady(): boolean {
    return !this.lifetime.isShuttingDown && this.view.routing !== undefined;
  }

  private getRetryBudget(service: string): RetryBudgetShare {
    const known = this.retryBudgets.get(service);
    if (known) return known;
    const { retryRatio, retryWindowSeconds, retryExtra } = this.options.settings;
    const budget = new RetryBudgetShare({
      ratio: retryRatio,
      windowMs: retryWindowSeconds * MS_PER_SECOND,
      extra: retryExtra,
      getEntryCount: () => this.view.cluster.value.entries,
    });
    this.retryBudgets.set(service, budget);
    return budget;
  }

  private expireUpstreams(): void {
    this.view.upstreamTable.removeExpired();
    this.view.limits.logChanges();
    const isKnown = (id: string) => this.view.upstreamTable.getUpstream(id) !== undefined;
    this.view.findings.removeExpired(isKnown);
    this.health.retain(isKnown);
    this.statements.removeExpired();
  }
}
