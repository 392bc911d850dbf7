import { rm } from 'node:fs/promises';
import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  CorruptStorage,
  FileStorage,
  FolderDisk,
  getOrCreateIdentity,
  NotLeader,
  Replica,
} from '@azurecart/consensus';
import type {
  AppendRequest,
  ReplicaEvent,
  SnapshotRequest,
  VoteRequest,
} from '@azurecart/consensus';
import type { Announcement } from '@azurecart/discovery';
import { UpstreamTable } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import { checkConfiguration, InvalidConfiguration } from '../configuration/index.js';
import type { ConfigurationCodec } from '../configuration/index.js';
import { LinkServer, listenAt } from '../links/index.js';
import type { CallHandler, Link } from '../links/index.js';
import { getSeedLinks } from '../settings/index.js';
import type { ControlSettings } from '../settings/index.js';
import { ConfigurationState, encodeProposal } from './ConfigurationState.js';
import type { VersionedDocument } from './ConfigurationState.js';
import type { ControlInterface, ControlProtocol, SubmitOutcome } from './ControlInterface.js';
import { createControlServer } from './createControlServer.js';
import { Feed } from './Feed.js';
import { Founding } from './Founding.js';
import { LinkPeers } from './LinkPeers.js';
import { Mesh } from './Mesh.js';
import { METHODS } from './messages.js';
import type { JoinRequest, Referral, Subscription, UpstreamNotice } from './messages.js';
import { PlacementService } from './PlacementService.js';

/** What a control process is made of. */
export interface ControlNodeOptions {
  settings: ControlSettings;
  codec: ConfigurationCodec;
  protocol: ControlProtocol;
  logger: Logger;
}

const TIMINGS = {
  heartbeatMs: 100,
  electionTimeoutMs: 450,
  rpcTimeoutMs: 500,
  leaseShare: 0.8,
  memberSilenceMs: 1800,
};
/** Milliseconds after which a replica whose disk failed is loaded again. */
const REOPEN_MS = 400;
/** Milliseconds that a proposal or a quorum read may take on its way through the leader. */
const QUORUM_TIMEOUT_MS = 900;
/** Milliseconds between exchanges of what was heard, and looks at the members. */
const TICK_MS = 500;
/** Milliseconds between two looks whether entry processes lack the configuration. */
const PUSH_MS = 60;
const SNAPSHOT_EVERY = 200;
/** Bytes of the log that fit beside its copy on the smallest disk in use, 128 MB. */
const SNAPSHOT_BYTES = 16 * 1024 * 1024;
/** Silence of the leader in milliseconds up to which the configuration is given to entries. */
const RECENT_MS = 1500;

/** A control process: a replica of the configuration and a hub of discovery. */
export class ControlNode implements ControlInterface {
  private replica: Replica | undefined;

  private readonly state: ConfigurationState;

  private readonly table: UpstreamTable;

  private readonly feed: Feed;

  private readonly mesh: Mesh;

  private readonly placement: PlacementService;

  private readonly links: LinkServer;

  private readonly server: Server;

  private readonly handlers = new Map<string, CallHandler>();

  private readonly self: string;

  private founding: Founding | undefined;

  private seeds: string[];

  private heard = new Set<string>();

  private lastCluster = '';

  private isStopped = false;

  constructor(private readonly options: ControlNodeOptions) {
    const { settings, protocol, logger } = options;
    const now = (): number => performance.now();
    this.self = `${settings.host}:${settings.linkPort}`;
    this.seeds = getSeedLinks(settings);
    this.state = new ConfigurationState({
      codec: options.codec,
      onChanged: () => this.feed.pushConfiguration(),
    });
    this.table = new UpstreamTable({ now });
    this.feed = new Feed({
      state: this.state,
      table: this.table,
      now,
      isRecent: () => this.replica?.isRecent(RECENT_MS) ?? false,
      getCluster: () => this.getCluster(),
    });
    this.placement = new PlacementService({
      table: this.table,
      getConfiguration: () => this.state.configuration,
      logger,
    });
    this.mesh = new Mesh({
      self: this.self,
      handlers: this.handlers,
      onOpen: (link) => this.follow(link),
    });
    this.links = new LinkServer({
      host: settings.host,
      port: settings.linkPort,
      handlers: this.handlers,
      onLink: (link) => this.placement.follow(link),
    });
    this.server = createControlServer({ protocol, control: this, logger });
    this.addHandlers();
  }

  /** Starts the replica, the listeners and the tasks. */
  async start(): Promise<void> {
    const { settings, logger } = this.options;
    await this.links.start();
    await this.openReplica().catch((error: unknown) => {
      logger.error({ err: error }, 'storage not usable');
      this.reopen().catch(() => undefined);
    });
    this.mesh.retain([...this.seeds]);
    await listenAt(this.server, settings.operators);
    this.runPushes().catch((error: unknown) => logger.error({ err: error }, 'pushes ended'));
    this.runUpkeep().catch((error: unknown) => logger.error({ err: error }, 'upkeep ended'));
    logger.info({ self: this.self, seeds: this.seeds }, 'control started');
  }

  /** Stops; what was acknowledged is on the disk already. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.placement.stop();
    this.founding?.stop();
    this.server.close();
    this.server.closeAllConnections();
    await this.replica?.stop();
    this.links.stop();
    this.mesh.stop();
  }

  /** True while this process takes part in quorums. */
  get isVoter(): boolean {
    const { replica } = this;
    return replica?.getMembers().some(({ id, voter }) => voter && id === replica.id) ?? false;
  }

  /** Adopts changed settings. */
  reload(settings: ControlSettings): void {
    this.seeds = getSeedLinks(settings);
    this.options.logger.info({ seeds: this.seeds }, 'settings reloaded');
  }

  async submit(document: Uint8Array): Promise<SubmitOutcome> {
    const { codec, logger } = this.options;
    let version: number;
    try {
      const configuration = codec.decode(document);
      checkConfiguration(configuration);
      version = configuration.version;
    } catch (error) {
      if (!(error instanceof InvalidConfiguration)) throw error;
      logger.info({ reason: error.message }, 'configuration refused');
      return { kind: 'invalid', reason: error.message };
    }
    if (this.state.current && this.state.current.version >= version) return { kind: 'accepted' };
    try {
      await this.commit({ version, document });
      logger.info({ version }, 'configuration accepted');
      return { kind: 'accepted' };
    } catch (error) {
      logger.warn({ version, err: error }, 'configuration not confirmed');
      return { kind: 'unknown', reason: 'no quorum confirmed it in time' };
    }
  }

  async read(): Promise<Uint8Array | undefined> {
    try {
      if (this.replica?.role === 'leader') {
        const isConfirmed = await this.replica.confirmRead(QUORUM_TIMEOUT_MS);
        return isConfirmed ? this.state.current?.document : undefined;
      }
      const answer = await this.callLeader(METHODS.read, null);
      return answer instanceof Uint8Array ? answer : undefined;
    } catch (error) {
      this.options.logger.debug({ err: error }, 'quorum read failed');
      return undefined;
    }
  }

  async announce(announcement: Announcement): Promise<void> {
    const result = this.table.merge(announcement);
    this.heard.add(announcement.id);
    const record = this.table.getUpstream(announcement.id);
    if (result !== 'changed' || !record) return;
    const { id, service, state } = announcement;
    this.options.logger.info({ upstream: id, service, state }, 'upstream announced');
    if (state === 'ready') this.feed.pushUpstream(record);
    else await this.feed.confirmUpstream(record);
  }

  async leave(id: string, bornAt: number | undefined): Promise<void> {
    const known = this.table.getUpstream(id);
    if (known && bornAt !== undefined && known.bornAt > bornAt) return;
    const record = this.table.markGone(id);
    if (!record) return;
    this.options.logger.info({ upstream: id }, 'upstream left');
    await this.feed.confirmUpstream(record);
  }

  private async commit(proposed: VersionedDocument): Promise<void> {
    if (this.replica?.role === 'leader') await this.propose(proposed);
    else await this.callLeader(METHODS.propose, proposed);
  }

  private async propose(proposed: VersionedDocument): Promise<void> {
    const { replica } = this;
    if (!replica) throw new NotLeader(undefined);
    const voters = replica.getMembers().filter((member) => member.voter).length;
    const needed = this.getNeededVoters();
    if (voters < needed) throw new Error(`${voters} voters are too few, ${needed} are needed`);
    await replica.propose(encodeProposal(proposed));
  }

  /**
   * A quorum must outnumber the losses that are tolerated. While the cluster forms, it must also be
   * left with a quorum after them; later it lacks a voter only for the moments of a replacement.
   */
  private getNeededVoters(): number {
    const { toleratedLosses } = this.options.settings;
    return this.state.current ? 2 * toleratedLosses : 2 * toleratedLosses + 1;
  }

  private async callLeader(method: string, body: unknown): Promise<unknown> {
    const leader = this.replica?.getLeaderAddress();
    if (!leader || leader === this.self) throw new NotLeader(leader);
    return this.mesh.getLink(leader).call(method, body, QUORUM_TIMEOUT_MS);
  }

  private addHandlers(): void {
    this.placement.addHandlers(this.handlers);
    const add = <T>(method: string, handler: (body: T, link: Link) => unknown): void => {
      this.handlers.set(method, (body, link) => handler(body as T, link));
    };
    add<VoteRequest>(METHODS.vote, (body) => this.getReplicaOrThrow().vote(body));
    add<AppendRequest>(METHODS.append, (body) => this.getReplicaOrThrow().append(body));
    add<SnapshotRequest>(METHODS.snapshot, (body) =>
      this.getReplicaOrThrow().installSnapshot(body),
    );
    add(METHODS.probe, () => ({ isInitialised: this.replica?.isInitialised ?? false }));
    add<JoinRequest>(METHODS.join, (body) => this.admit(body));
    add<VersionedDocument>(METHODS.propose, (body) => this.propose(body));
    add(METHODS.read, async () => {
      const { replica } = this;
      if (replica?.role !== 'leader') return null;
      return (await replica.confirmRead(QUORUM_TIMEOUT_MS)) ? this.state.current?.document : null;
    });
    add<Subscription>(METHODS.subscribe, (body, link) => this.feed.addSubscriber(body, link));
    add<UpstreamNotice>(METHODS.upstreams, (body) => this.merge(body));
  }

  private admit({ id, address }: JoinRequest): Referral {
    const { replica } = this;
    const leader = replica?.getLeaderAddress() ?? null;
    if (replica?.role !== 'leader') return { isAccepted: false, leader };
    replica.addMember({ id, address, name: address });
    return { isAccepted: true, leader };
  }

  private getReplicaOrThrow(): Replica {
    if (!this.replica) throw new Error('the replica is not open');
    return this.replica;
  }

  private follow(link: Link): void {
    link.received.subscribe(({ method, body }) => {
      if (method === METHODS.upstreams) this.merge(body as UpstreamNotice);
    });
    const subscription: Subscription = {
      kind: 'control',
      vm: this.options.settings.vm,
      version: 0,
    };
    link.call(METHODS.subscribe, subscription, QUORUM_TIMEOUT_MS).catch(() => link.close());
  }

  private merge({ records }: UpstreamNotice): void {
    for (const { ageMs, ...announcement } of records) {
      const result = this.table.merge(announcement, ageMs);
      const record = this.table.getUpstream(announcement.id);
      if (result === 'changed' && record) this.feed.pushUpstream(record);
    }
  }

  private getCluster() {
    const members = this.replica?.getMembers().map((member) => member.address) ?? [];
    const leader = this.replica?.getLeaderAddress() ?? null;
    return { members, leader, term: this.replica?.term ?? 0 };
  }

  private async openReplica(): Promise<void> {
    const { settings, logger } = this.options;
    const disk = await FolderDisk.open(settings.dataFolder);
    const replica = new Replica({
      id: await getOrCreateIdentity(disk),
      name: this.self,
      address: this.self,
      storage: new FileStorage(disk),
      machine: this.state,
      network: new LinkPeers(this.mesh),
      timings: TIMINGS,
      snapshotEvery: SNAPSHOT_EVERY,
      snapshotBytes: SNAPSHOT_BYTES,
      // Reads and writes ask a quorum each time.
      usesLeases: false,
      targetVoters: 2 * settings.toleratedLosses + 1,
      onEvent: (event) => this.onReplicaEvent(event),
    });
    await replica.start();
    this.replica = replica;
    const { mesh, self } = this;
    this.founding = new Founding({
      replica,
      disk,
      mesh,
      self,
      getSeeds: () => this.seeds,
      isFirstStart: settings.isFirstStart,
      logger,
    });
    this.founding.run().catch((error: unknown) => logger.error({ err: error }, 'join ended'));
  }

  private onReplicaEvent(event: ReplicaEvent): void {
    this.options.logger.info(event, 'replica');
    if (event.kind === 'role') {
      this.feed.pushCluster();
    }
    if (event.kind === 'fatal') this.reopen().catch(() => undefined);
  }

  /** After a failed write the memory may be ahead of the disk, so all is loaded from the disk. */
  private async reopen(): Promise<void> {
    const { replica } = this;
    this.replica = undefined;
    this.founding?.stop();
    await replica?.stop().catch(() => undefined);
    while (!this.isStopped) {
      await sleep(REOPEN_MS);
      try {
        await this.openReplica();
        return;
      } catch (error) {
        this.options.logger.warn({ err: error }, 'storage not usable');
        await this.discardWhenCorrupt(error);
      }
    }
  }

  /** A damaged log must not vote: the process joins again as a new member with an empty disk. */
  private async discardWhenCorrupt(error: unknown): Promise<void> {
    if (!(error instanceof CorruptStorage)) return;
    await rm(this.options.settings.dataFolder, { recursive: true, force: true });
  }

  private async runUpkeep(): Promise<void> {
    while (!this.isStopped) {
      await sleep(TICK_MS);
      this.mesh.retain([...this.seeds, ...this.getCluster().members]);
      this.table.sweep();
      this.shareHeard();
      const cluster = JSON.stringify(this.getCluster());
      if (cluster !== this.lastCluster) this.feed.pushCluster();
      this.lastCluster = cluster;
    }
  }

  /** The configuration becomes recent with time alone, when a quorum is found again. */
  private async runPushes(): Promise<void> {
    while (!this.isStopped) {
      await this.waitForChange();
      this.feed.pushConfiguration();
    }
  }

  private async waitForChange(): Promise<void> {
    if (this.replica) await this.replica.waitForChange(PUSH_MS);
    else await sleep(PUSH_MS);
  }

  private shareHeard(): void {
    const records = [...this.heard].flatMap((id) => this.table.getUpstream(id) ?? []);
    this.heard = new Set();
    if (records.length > 0) this.feed.pushHeard(records);
  }
}
