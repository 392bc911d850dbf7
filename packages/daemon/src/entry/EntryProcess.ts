import { setTimeout as sleep } from 'node:timers/promises';
import { Registry } from 'prom-client';
import { RetryBudget } from '@azurecart/scheduling';
import { createLogger, HybridClock, Invariants, Timeline } from '@azurecart/telemetry';
import type { Logger } from '@azurecart/telemetry';
import { AdminRoutes } from '../http/index.js';
import { ControlClient, RpcClients, RpcContext, RpcServer } from '../rpc/index.js';
import { Secret } from '../secrets/index.js';
import type { EntrySettings } from '../settings/index.js';
import {
  AnnouncementRouter,
  Authenticator,
  BodyBudget,
  ClientServer,
  CompletionHandler,
  PromptInspector,
  ServiceHandler,
  ShardChooser,
} from './clients/index.js';
import { Measures } from './measures/index.js';
import { addOwnerRoutes, OwnerDirectory, LocalOwners } from './owner/index.js';
import { EngineClient, EngineStreams, ServiceCalls } from './upstreams/index.js';
import { ConfigurationLease, ViewFollower } from './view/index.js';

interface Secrets {
  peer: Secret;
  upstream: Secret;
  operator: Secret;
}

interface Parts {
  clients: RpcClients;
  follower: ViewFollower;
  owners: LocalOwners;
  chooser: ShardChooser;
  rpcServer: RpcServer;
  clientServer: ClientServer;
  inspector: PromptInspector;
  closers: { close(): void }[];
}

const YIELD_TIMEOUT_MS = 2000;
const STOP_POLL_MS = 20;

/** An entry process: takes clients' requests, and owns a part of the upstreams. */
export class EntryProcess {
  private readonly registry = new Registry();

  private readonly clock = new HybridClock();

  private readonly lease = new ConfigurationLease();

  private readonly timeline: Timeline;

  private readonly invariants: Invariants;

  private readonly logger: Logger;

  private readonly measures: Measures;

  private parts: Parts | undefined;

  private isStopping = false;

  constructor(private readonly settings: EntrySettings) {
    const { vm, timelineFile, logLevel } = settings;
    const { registry, clock } = this;
    this.logger = createLogger({ name: 'entry', vm, level: logLevel });
    this.timeline = new Timeline({ process: `entry@${vm}`, vm, clock, file: timelineFile });
    this.invariants = new Invariants({ registry, timeline: this.timeline });
    this.measures = new Measures(registry);
  }

  /** Starts the listeners and the tasks. */
  async start(): Promise<void> {
    const parts = this.createParts(await this.loadSecrets());
    this.parts = parts;
    parts.follower.views.subscribe((view) => parts.owners.applyView(view));
    await parts.rpcServer.start();
    await parts.clientServer.start();
    this.runTask('follower', parts.follower.run());
    this.runTask('chooser', parts.chooser.run());
    this.runTask('handover', parts.owners.runHandover());
    this.addGauges(parts);
    this.logger.info({ listen: this.settings.listen.port }, 'entry started');
  }

  /**
   * Stops without cutting a request: the health check fails first, shards go to other owners, and
   * the process ends when its last answer is whole.
   */
  async stop(): Promise<void> {
    const { parts } = this;
    if (!parts || this.isStopping) return;
    this.isStopping = true;
    this.timeline.record('stopping');
    parts.clientServer.beginStop();
    parts.owners.stopAll();
    await parts.follower.yieldShards(YIELD_TIMEOUT_MS).catch(() => undefined);
    await sleep(this.settings.drainMs);
    parts.clientServer.closeIdle();
    while (parts.clientServer.openRequests > 0) await sleep(STOP_POLL_MS);
    await parts.follower.stop(YIELD_TIMEOUT_MS);
    parts.chooser.stop();
    await parts.clientServer.stop();
    await parts.rpcServer.stop();
    parts.clients.close();
    parts.closers.forEach((closer) => closer.close());
    await parts.inspector.close();
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

  private createParts(secrets: Secrets): Parts {
    const { settings, lease, timeline, invariants, logger } = this;
    const context = new RpcContext({ secret: secrets.peer, clock: this.clock });
    const clients = new RpcClients(context, settings.peerCaFile);
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
      context,
      routes: (router) => addOwnerRoutes(router, owners),
    });
    const streams = this.createStreams(secrets.upstream);
    const calls = new ServiceCalls();
    const inspector = new PromptInspector({ inlineBytes: settings.limits.inlineBytes });
    const clientServer = this.createClientServer({
      secrets,
      control,
      follower,
      directory,
      chooser,
      streams,
      calls,
      inspector,
    });
    const closers = [engineClient, streams, calls];
    return { clients, follower, owners, chooser, rpcServer, clientServer, inspector, closers };
  }

  private createStreams(upstreamSecret: Secret): EngineStreams {
    return new EngineStreams({
      upstreamSecret,
      silenceMs: this.settings.limits.silenceMs,
      onForeignFrame: (call, frame) => {
        this.timeline.record('foreign-frame', { request: call.request, detail: frame.id });
      },
    });
  }

  private createClientServer(adapters: Adapters): ClientServer {
    const { settings, lease, measures, timeline, invariants, logger } = this;
    const { secrets, control, follower, directory, chooser, streams, calls, inspector } = adapters;
    const { limits } = settings;
    const getView = (): ViewFollower['view'] => follower.view;
    const authenticator = new Authenticator();
    const budget = new BodyBudget(limits.bufferedBytes);
    const retries = new RetryBudget();
    measures.addGauge('azurecart_body_bytes', 'Body bytes held', () => budget.heldBytes);
    const shared = { lease, measures, timeline, invariants, chooser };
    const context = {
      ...shared,
      directory,
      streams,
      budget: retries,
      getSession: () => follower.session,
    };
    return new ClientServer({
      settings,
      getView,
      lease,
      measures,
      logger,
      authenticator,
      admin: this.createAdmin(secrets.operator),
      announcements: new AnnouncementRouter({
        directory,
        upstreamSecret: secrets.upstream,
        getView,
      }),
      completions: new CompletionHandler({ context, authenticator, inspector, budget, limits }),
      services: new ServiceHandler({
        ...shared,
        control,
        calls,
        authenticator,
        retries,
        budget,
        limits,
      }),
    });
  }

  private createAdmin(operatorSecret: Secret): AdminRoutes {
    const { registry, timeline } = this;
    const getUnreadiness = (): string | undefined => this.getUnreadiness();
    return new AdminRoutes({ registry, timeline, operatorSecret, getUnreadiness });
  }

  private getUnreadiness(): string | undefined {
    if (this.isStopping) return 'stopping';
    if (!this.lease.isHeld) return 'no configuration lease';
    return this.parts?.follower.view.release ? undefined : 'no release';
  }

  private addGauges({ follower, owners, clientServer }: Parts): void {
    const { measures } = this;
    const getEngines = () => owners.getAll().flatMap((owner) => owner.getEngines());
    const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);
    measures.addGauge('azurecart_release', 'Release applied', () => follower.view.releaseNumber);
    measures.addGauge('azurecart_lease_held', '1 while the lease holds', () =>
      Number(this.lease.isHeld),
    );
    measures.addGauge(
      'azurecart_open_requests',
      'Requests in progress',
      () => clientServer.openRequests,
    );
    measures.addGauge('azurecart_owned_shards', 'Shards owned', () => owners.getAll().length);
    measures.addGauge(
      'azurecart_ready_engines',
      'Engines that take new work',
      () => getEngines().filter((engine) => engine.isReady && engine.models.size > 0).length,
    );
    measures.addGauge('azurecart_owned_engines', 'Engines owned', () => getEngines().length);
    measures.addGauge('azurecart_reserved_tokens', 'Engine memory reserved', () =>
      sum(getEngines().map((engine) => engine.reservedTokens)),
    );
    measures.addGauge('azurecart_queued_works', 'Prompts waiting for memory', () =>
      sum(owners.getAll().map((owner) => owner.queueLength)),
    );
  }

  private runTask(name: string, task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.logger.fatal({ err: error, task: name }, 'a task ended');
      process.exit(1);
    });
  }
}

interface Adapters {
  secrets: Secrets;
  control: ControlClient;
  follower: ViewFollower;
  directory: OwnerDirectory;
  chooser: ShardChooser;
  streams: EngineStreams;
  calls: ServiceCalls;
  inspector: PromptInspector;
}
