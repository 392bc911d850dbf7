import { setTimeout as sleep } from 'node:timers/promises';
import { Registry } from 'prom-client';
import { RetryBudget } from '@azurecart/scheduling';
import { createLogger, HybridClock, Invariants, Timeline } from '@azurecart/telemetry';
import type { Logger } from '@azurecart/telemetry';
import { AdminRoutes } from '../http/index.js';
import { ControlClient, RpcClients, RpcInterceptors, RpcServer } from '../rpc/index.js';
import { Secret } from '../secrets/index.js';
import type { EntrySettings } from '../settings/index.js';
import {
  UpstreamMessageRouter,
  Authenticator,
  BodyBudget,
  ClientServer,
  CompletionHandler,
  PromptInspector,
  ServiceHandler,
  ShardChooser,
} from './clients/index.js';
import { EntryMetrics } from './metrics/index.js';
import { addOwnerRoutes, OwnerDirectory, LocalOwners } from './owner/index.js';
import { EngineClient, EngineStreamClient, ServiceClient } from './upstreams/index.js';
import { ConfigurationLease, ViewFollower } from './view/index.js';

interface Secrets {
  peer: Secret;
  upstream: Secret;
  operator: Secret;
}

interface EntryComponents {
  clients: RpcClients;
  follower: ViewFollower;
  owners: LocalOwners;
  chooser: ShardChooser;
  rpcServer: RpcServer;
  clientServer: ClientServer;
  inspector: PromptInspector;
  closeables: { close(): void }[];
}

const STOP_CALL_TIMEOUT_MS = 2000;
const DRAIN_POLL_INTERVAL_MS = 20;

/** An entry process: serves client requests and owns a share of the upstream shards. */
export class EntryProcess {
  private readonly registry = new Registry();

  private readonly clock = new HybridClock();

  private readonly lease = new ConfigurationLease();

  private readonly timeline: Timeline;

  private readonly invariants: Invariants;

  private readonly logger: Logger;

  private readonly metrics: EntryMetrics;

  private components: EntryComponents | undefined;

  private isStopping = false;

  constructor(private readonly settings: EntrySettings) {
    const { vm, timelineFile, logLevel } = settings;
    const { registry, clock } = this;
    this.logger = createLogger({ name: 'entry', vm, level: logLevel });
    this.timeline = new Timeline({ process: `entry@${vm}`, vm, clock, file: timelineFile });
    this.invariants = new Invariants({ registry, timeline: this.timeline });
    this.metrics = new EntryMetrics(registry);
  }

  /** Starts the listeners and the background tasks. */
  async start(): Promise<void> {
    const components = this.createComponents(await this.loadSecrets());
    this.components = components;
    components.follower.views.subscribe((view) => components.owners.applyView(view));
    await components.rpcServer.start();
    await components.clientServer.start();
    this.runTask('follower', components.follower.run());
    this.runTask('chooser', components.chooser.run());
    this.runTask('handover', components.owners.runHandover());
    this.addGauges(components);
    this.logger.info({ listen: this.settings.listen.port }, 'entry started');
  }

  /**
   * Stops without interrupting requests: reports not ready, yields the shards to other owners,
   * takes no new connections after the drain time, and ends once every request is answered.
   */
  async stop(): Promise<void> {
    const { components } = this;
    if (!components || this.isStopping) return;
    this.isStopping = true;
    this.timeline.record('stopping');
    components.clientServer.beginStop();
    components.owners.stopAll();
    await components.follower.yieldShards(STOP_CALL_TIMEOUT_MS).catch(() => undefined);
    await sleep(this.settings.drainMs);
    components.clientServer.stopAccepting();
    while (components.clientServer.openRequests > 0) await sleep(DRAIN_POLL_INTERVAL_MS);
    await components.follower.stop(STOP_CALL_TIMEOUT_MS);
    components.chooser.stop();
    await components.clientServer.stop();
    await components.rpcServer.stop();
    components.clients.close();
    components.closeables.forEach((closeable) => closeable.close());
    await components.inspector.close();
    this.timeline.record('stopped');
    this.timeline.close();
  }

  private async loadSecrets(): Promise<Secrets> {
    const { peerFile, upstreamFile, operatorFile } = this.settings.secrets;
    return {
      peer: await Secret.load(peerFile),
      upstream: await Secret.load(upstreamFile),
      operator: await Secret.load(operatorFile),
    };
  }

  private createComponents(secrets: Secrets): EntryComponents {
    const { settings, lease, timeline, invariants, logger } = this;
    const interceptors = new RpcInterceptors({ secret: secrets.peer, clock: this.clock });
    const clients = new RpcClients(interceptors, settings.peerCaFile);
    const control = new ControlClient(clients, settings.control);
    const { vm, dataCentre, address } = settings;
    const follower = new ViewFollower({
      control,
      vm,
      dataCentre,
      address,
      lease,
      timeline,
      invariants,
      logger,
    });
    const getView = (): ViewFollower['view'] => follower.view;
    const getSession = (): string => follower.session;
    const engineClient = new EngineClient({ upstreamSecret: secrets.upstream });
    const shared = { settings, client: engineClient, timeline, invariants, logger };
    const owners = new LocalOwners({ getView, getSession, lease, control, shared });
    const directory = new OwnerDirectory({ getView, getSession, local: owners, clients });
    const chooser = new ShardChooser({ directory, dataCentre });
    const rpcServer = new RpcServer({
      listener: settings.rpc,
      interceptors,
      routes: (router) => addOwnerRoutes(router, owners),
    });
    const streams = this.createStreams(secrets.upstream);
    const serviceClient = new ServiceClient();
    const inspector = new PromptInspector({ inlineBytes: settings.limits.inlineBytes });
    const clientServer = this.createClientServer({
      secrets,
      control,
      follower,
      directory,
      chooser,
      streams,
      serviceClient,
      inspector,
    });
    const closeables = [engineClient, streams, serviceClient];
    return { clients, follower, owners, chooser, rpcServer, clientServer, inspector, closeables };
  }

  private createStreams(upstreamSecret: Secret): EngineStreamClient {
    return new EngineStreamClient({
      upstreamSecret,
      idleTimeoutMs: this.settings.limits.silenceMs,
      onUnexpectedFrame: (call, frame) => {
        this.timeline.record('foreign-frame', { request: call.attemptId, detail: frame.id });
      },
    });
  }

  private createClientServer(dependencies: ClientServerDependencies): ClientServer {
    const { settings, lease, metrics, timeline, invariants, logger } = this;
    const { secrets, control, follower, directory, chooser, streams, serviceClient, inspector } =
      dependencies;
    const { limits } = settings;
    const getView = (): ViewFollower['view'] => follower.view;
    const authenticator = new Authenticator();
    const bodyBudget = new BodyBudget(limits.bufferedBytes);
    const retryBudget = new RetryBudget();
    metrics.addGauge('azurecart_body_bytes', 'Body bytes held', () => bodyBudget.heldBytes);
    const shared = { lease, metrics, timeline, invariants, chooser };
    const context = {
      ...shared,
      directory,
      streams,
      retryBudget,
      getSession: () => follower.session,
    };
    return new ClientServer({
      settings,
      getView,
      lease,
      metrics,
      logger,
      authenticator,
      admin: this.createAdmin(secrets.operator),
      upstreamMessages: new UpstreamMessageRouter({
        directory,
        upstreamSecret: secrets.upstream,
        getView,
      }),
      completions: new CompletionHandler({
        context,
        authenticator,
        inspector,
        bodyBudget,
        limits,
      }),
      services: new ServiceHandler({
        ...shared,
        control,
        serviceClient,
        authenticator,
        retryBudget,
        bodyBudget,
        limits,
      }),
    });
  }

  private createAdmin(operatorSecret: Secret): AdminRoutes {
    const { registry, timeline } = this;
    const getNotReadyReason = (): string | undefined => this.getNotReadyReason();
    return new AdminRoutes({ registry, timeline, operatorSecret, getNotReadyReason });
  }

  private getNotReadyReason(): string | undefined {
    if (this.isStopping) return 'stopping';
    if (!this.lease.isHeld) return 'no configuration lease';
    return this.components?.follower.view.release ? undefined : 'no release';
  }

  private addGauges({ follower, owners, clientServer }: EntryComponents): void {
    const { metrics } = this;
    const getEngines = () => owners.getAll().flatMap((owner) => owner.getEngines());
    const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);
    metrics.addGauge('azurecart_release', 'Release applied', () => follower.view.releaseNumber);
    metrics.addGauge('azurecart_lease_held', '1 while the lease holds', () =>
      Number(this.lease.isHeld),
    );
    metrics.addGauge(
      'azurecart_open_requests',
      'Requests in progress',
      () => clientServer.openRequests,
    );
    metrics.addGauge(
      'azurecart_client_connections',
      'Open connections of clients',
      () => clientServer.connections.connectionCount,
    );
    metrics.addGauge(
      'azurecart_client_connections_held',
      'Connections of clients that are not read for a while',
      () => clientServer.connections.heldCount,
    );
    metrics.addGauge('azurecart_owned_shards', 'Shards owned', () => owners.getAll().length);
    metrics.addGauge(
      'azurecart_ready_engines',
      'Engines that take new work',
      () => getEngines().filter((engine) => engine.isReady && engine.models.size > 0).length,
    );
    metrics.addGauge('azurecart_owned_engines', 'Engines owned', () => getEngines().length);
    metrics.addGauge('azurecart_reserved_tokens', 'Engine memory reserved', () =>
      sum(getEngines().map((engine) => engine.reservedTokens)),
    );
    metrics.addGauge('azurecart_queued_works', 'Prompts waiting for memory', () =>
      sum(owners.getAll().map((owner) => owner.queueLength)),
    );
  }

  private runTask(name: string, task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.logger.fatal({ err: error, task: name }, 'background task failed; exiting with code 1');
      process.exit(1);
    });
  }
}

interface ClientServerDependencies {
  secrets: Secrets;
  control: ControlClient;
  follower: ViewFollower;
  directory: OwnerDirectory;
  chooser: ShardChooser;
  streams: EngineStreamClient;
  serviceClient: ServiceClient;
  inspector: PromptInspector;
}
