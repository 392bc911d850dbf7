import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Registry } from 'prom-client';
import type { Logger } from '@azurecart/telemetry';
import type { ConfigurationCodec } from '../configuration/index.js';
import { listenAt } from '../links/index.js';
import type { EntrySettings } from '../settings/index.js';
import { UpstreamAgent } from '../upstreams/index.js';
import { ControlLinks } from './ControlLinks.js';
import { EngineKinds } from './EngineKinds.js';
import { EntryMetrics } from './EntryMetrics.js';
import { Exchange } from './Exchange.js';
import { LeastLoadedPlacer } from './LeastLoadedPlacer.js';
import { RequestTask } from './RequestTask.js';
import { ScheduledPlacer } from './ScheduledPlacer.js';
import { Schedulers } from './Schedulers.js';
import { StartGate } from './StartGate.js';
import { SharedRetryBudget } from './SharedRetryBudget.js';
import { UpstreamHealth } from './UpstreamHealth.js';
import { View } from './View.js';
import type { Wire } from './Wire.js';

/** What an entry process is made of. */
export interface EntryNodeOptions {
  settings: EntrySettings;
  wire: Wire;
  codec: ConfigurationCodec;
  logger: Logger;
}

/** Milliseconds for which connections are still accepted after the balancer was told to leave. */
const LEAVE_MS = 3200;
/** Part of the grace in milliseconds left for the process to end. */
const EXIT_MARGIN_MS = 700;
const SWEEP_MS = 1000;
const MS_PER_SECOND = 1000;

/** An entry process: takes clients' requests and passes them on to upstreams. */
export class EntryNode {
  private readonly view: View;

  private readonly links: ControlLinks;

  private readonly health = new UpstreamHealth();

  private readonly gate = new StartGate();

  private readonly registry = new Registry();

  private readonly front: Server;

  private readonly readiness: Server;

  private readonly task: RequestTask;

  private readonly budgets = new Map<string, SharedRetryBudget>();

  private open = 0;

  /** Monotonic time in milliseconds at which the process ends; undefined while it stays. */
  private endAt: number | undefined;

  constructor(private readonly options: EntryNodeOptions) {
    const { settings, wire, codec, logger } = options;
    this.view = new View({ codec, logger });
    this.links = new ControlLinks({ settings, view: this.view, logger });
    this.task = new RequestTask({
      wire,
      health: this.health,
      placer: this.createPlacer(),
      agent: new UpstreamAgent(),
      metrics: new EntryMetrics(this.registry, this.view, () => this.open),
      getBudget: (service) => this.getBudget(service),
      random: Math.random,
      getTimeToLive: () => this.getTimeToLive(),
      logger,
    });
    this.front = createServer((request, response) => this.take(request, response));
    this.front.requestTimeout = 0;
    this.front.keepAliveTimeout = 0;
    this.readiness = createServer((request, response) => this.answerProbe(request, response));
  }

  /** Starts the listeners and the links to control. */
  async start(): Promise<void> {
    const { settings, logger } = this.options;
    this.links.start();
    await listenAt(this.front, settings.front);
    await listenAt(this.readiness, settings.readiness);
    setInterval(() => this.sweep(), SWEEP_MS).unref();
    logger.info({ front: settings.front, seeds: settings.seeds }, 'entry started');
  }

  /** Leaves the balancer, finishes what was read, and stops. */
  async stop(): Promise<void> {
    const { settings, logger } = this.options;
    const endAt = performance.now() + settings.graceSeconds * MS_PER_SECOND - EXIT_MARGIN_MS;
    this.endAt = endAt;
    logger.info({ open: this.open }, 'leaving');
    await sleep(LEAVE_MS);
    while (this.open > 0 && performance.now() < endAt) await sleep(20);
    this.front.close();
    this.readiness.close();
    this.front.closeIdleConnections();
    this.links.stop();
    logger.info({ open: this.open }, 'stopped');
  }

  /** Adopts changed settings. */
  reload(settings: EntrySettings): void {
    this.links.reload(settings);
    this.options.logger.info({ seeds: settings.seeds }, 'settings reloaded');
  }

  private createPlacer(): ScheduledPlacer {
    const { view, health, links, gate } = this;
    const { dataCentre } = this.options.settings;
    const kinds = new EngineKinds(view);
    return new ScheduledPlacer({
      view,
      schedulers: new Schedulers({ view, mesh: links.mesh }),
      kinds,
      fallback: new LeastLoadedPlacer({ view, health, kinds, gate, dataCentre }),
      dataCentre,
      logger: this.options.logger,
    });
  }

  private get isLeaving(): boolean {
    return this.endAt !== undefined;
  }

  private getTimeToLive(): number {
    return this.endAt === undefined ? Infinity : this.endAt - performance.now();
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    this.open += 1;
    response.once('close', () => {
      this.open -= 1;
    });
    const exchange = new Exchange(request, response, () => this.isLeaving);
    this.serve(exchange).catch((error: unknown) =>
      this.options.logger.error({ err: error }, 'request failed'),
    );
  }

  private async serve(exchange: Exchange): Promise<void> {
    const { view, gate } = this;
    const routing = view.routing ?? (await gate.wait(() => view.routing, exchange.left));
    await this.task.run(exchange, routing);
  }

  private answerProbe(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const isReady = request.url === this.options.wire.readinessPath;
    if (isReady) response.writeHead(this.isReady() ? 200 : 503).end();
    else if (request.url === '/metrics') this.answerMetrics(response);
    else response.writeHead(404).end();
  }

  private answerMetrics(response: ServerResponse): void {
    this.registry
      .metrics()
      .then((text) => response.writeHead(200, { 'content-type': 'text/plain' }).end(text))
      .catch(() => response.destroy());
  }

  private isReady(): boolean {
    return !this.isLeaving && this.view.routing !== undefined;
  }

  private getBudget(service: string): SharedRetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const { retryRatio, retryWindowSeconds, retryExtra } = this.options.settings;
    const budget = new SharedRetryBudget({
      ratio: retryRatio,
      windowMs: retryWindowSeconds * MS_PER_SECOND,
      extra: retryExtra,
      getEntryCount: () => this.view.cluster.value.entries,
    });
    this.budgets.set(service, budget);
    return budget;
  }

  private sweep(): void {
    this.view.table.sweep();
    this.health.retain((id) => this.view.table.getUpstream(id) !== undefined);
  }
}
