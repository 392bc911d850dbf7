import type { Server } from 'node:http';
import { Gauge, Registry, collectDefaultMetrics } from 'prom-client';
import { FileStorage, FolderDisk, getOrCreateIdentity, Replica } from '@azurecart/consensus';
import type { ReplicaEvent } from '@azurecart/consensus';
import { createLogger, HybridClock, Invariants, Timeline } from '@azurecart/telemetry';
import type { Logger } from '@azurecart/telemetry';
import {
  AdminRoutes,
  closeServer,
  createHttpServer,
  createIngress,
  listen,
  sendJson,
} from '../http/index.js';
import { RpcClients, RpcInterceptors, RpcServer } from '../rpc/index.js';
import { Secret } from '../secrets/index.js';
import type { ControlSettings } from '../settings/index.js';
import { addConsensusRoutes } from './addConsensusRoutes.js';
import { ControlServices } from './ControlServices.js';
import { ControlState } from './ControlState.js';
import { LeaderTasks } from './LeaderTasks.js';
import { LoadPermits } from './LoadPermits.js';
import { ClusterJoiner } from './ClusterJoiner.js';
import { RpcPeerNetwork } from './RpcPeerNetwork.js';
import { SessionLeases } from './SessionLeases.js';

interface Components {
  replica: Replica;
  rpcServer: RpcServer;
  admin: Server;
  clients: RpcClients;
  tasks: LeaderTasks;
  joiner: ClusterJoiner;
}

/** What the components of a control process are created from. */
interface ComponentDependencies {
  replica: Replica;
  clients: RpcClients;
  interceptors: RpcInterceptors;
  operatorSecret: Secret;
}

/** Control process: runs one replica of the durable state of the system. */
export class ControlProcess {
  private readonly registry = new Registry();

  private readonly clock = new HybridClock();

  private readonly timeline: Timeline;

  private readonly logger: Logger;

  private readonly state = new ControlState();

  private components: Components | undefined;

  constructor(private readonly settings: ControlSettings) {
    const { vm, timelineFile, logLevel } = settings;
    this.logger = createLogger({ name: 'control', vm, level: logLevel });
    this.timeline = new Timeline({
      process: `control@${vm}`,
      vm,
      clock: this.clock,
      file: timelineFile,
    });
    this.state.invariants = new Invariants({ registry: this.registry, timeline: this.timeline });
  }

  /** Starts the replica, the listeners, the leader tasks and the joining of the cluster. */
  async start(): Promise<void> {
    const { settings, logger } = this;
    const secret = await Secret.load(settings.secrets.peerFile);
    const operatorSecret = await Secret.load(settings.secrets.operatorFile);
    const interceptors = new RpcInterceptors({ secret, clock: this.clock, operatorSecret });
    const clients = new RpcClients(interceptors, settings.peerCaFile);
    const replica = await this.createReplica(clients);
    const components = this.createComponents({ replica, clients, interceptors, operatorSecret });
    this.components = components;
    await replica.start();
    await components.rpcServer.start();
    await listen(components.admin, settings.admin);
    this.addMetrics(replica);
    components.tasks
      .run()
      .catch((error: unknown) => logger.error({ err: error }, 'leader task loop failed'));
    components.joiner
      .run()
      .catch((error: unknown) =>
        logger.error({ err: error }, 'joining the control cluster failed'),
      );
    logger.info({ rpc: settings.address, id: replica.id }, 'control process started');
  }

  /** Stops all components. Acknowledged commands are on disk already, so nothing is flushed. */
  async stop(): Promise<void> {
    const { components } = this;
    if (!components) return;
    components.tasks.stop();
    components.joiner.stop();
    await components.rpcServer.stop();
    await closeServer(components.admin);
    components.clients.close();
    await components.replica.stop();
    this.timeline.close();
  }

  private async createReplica(clients: RpcClients): Promise<Replica> {
    const { settings } = this;
    const disk = await FolderDisk.open(settings.dataFolder);
    return new Replica({
      id: await getOrCreateIdentity(disk),
      name: settings.vm,
      address: settings.address,
      storage: new FileStorage(disk),
      stateMachine: this.state,
      network: new RpcPeerNetwork(clients),
      timings: {
        electionTimeoutMs: settings.electionTimeoutMs,
        heartbeatMs: settings.heartbeatMs,
      },
      snapshotEvery: settings.snapshotEvery,
      onEvent: (event) => this.onReplicaEvent(event),
    });
  }

  private createComponents({
    replica,
    clients,
    interceptors,
    operatorSecret,
  }: ComponentDependencies): Components {
    const { settings, state, timeline, logger } = this;
    const now = (): number => performance.now();
    const leases = new SessionLeases({ leaseMs: settings.leaseMs, now });
    const permits = new LoadPermits(now);
    const { leaseMs, pollMs, dataCentres, claimRetentionMs } = settings;
    const shared = { replica, state, leases, permits, timeline };
    const services = new ControlServices({ ...shared, leaseMs, pollMs, now });
    return {
      replica,
      clients,
      rpcServer: new RpcServer({
        listener: settings.rpc,
        interceptors,
        routes: (router) => {
          addConsensusRoutes(router, replica, settings.vm);
          services.addRoutes(router);
        },
      }),
      admin: this.createAdmin(replica, operatorSecret),
      tasks: new LeaderTasks({ ...shared, dataCentres, claimRetentionMs, logger }),
      joiner: new ClusterJoiner({
        replica,
        name: settings.vm,
        address: settings.address,
        members: settings.members,
        clients,
        logger,
      }),
    };
  }

  private createAdmin(replica: Replica, operatorSecret: Secret): Server {
    const routes = new AdminRoutes({
      registry: this.registry,
      timeline: this.timeline,
      operatorSecret,
      getNotReadyReason: () => (replica.getLeaderAddress() ? undefined : 'no leader known'),
    });
    const ingress = createIngress({ name: 'admin', logger: this.logger });
    return createHttpServer(this.settings.admin, {}, ingress, (request, response) => {
      if (!routes.handle(request, response)) {
        sendJson(response, 404, { error: { message: 'no such path' } });
      }
    });
  }

  private onReplicaEvent(event: ReplicaEvent): void {
    this.logger.info(event, 'replica event');
    this.timeline.record(`replica-${event.kind}`, { detail: JSON.stringify(event) });
    if (event.kind !== 'fatal') return;
    this.logger.fatal(event, 'fatal replica error; exiting with code 1');
    process.exitCode = 1;
    setImmediate(() => process.exit(1));
  }

  private addMetrics(replica: Replica): void {
    const registers = [this.registry];
    collectDefaultMetrics({ register: this.registry });
    const add = (name: string, help: string, read: () => number): void => {
      const gauge: Gauge = new Gauge({
        name,
        help,
        registers,
        collect: () => gauge.set(read()),
      });
    };
    add('azurecart_control_is_leader', '1 on the leader', () => Number(replica.hasLease()));
    add('azurecart_control_term', 'Election term', () => replica.term);
    add('azurecart_control_commit_index', 'Last committed entry', () => replica.commitIndex);
    add('azurecart_control_applied_index', 'Last applied entry', () => replica.appliedIndex);
    add('azurecart_control_log_bytes', 'Size of the log file', () => replica.logBytes);
    add('azurecart_control_claims', 'Idempotency keys kept', () => this.state.claims.size);
    add('azurecart_control_release', 'Latest release', () => this.state.releases.number);
    add(
      'azurecart_control_sessions',
      'Open sessions of entry processes',
      () => this.state.sessions.getSessions().length,
    );
  }
}
