import { rm } from 'node:fs/promises';
import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  CorruptStorageError,
  FileStorage,
  FolderDisk,
  getOrCreateIdentity,
  NotLeaderError,
  Replica,
} from '@azurecart/consensus';
import type {
  AppendRequest,
  ReplicaEvent,
  SnapshotRequest,
  VoteRequest,
} from '@azurecart/consensus';
import type { Announcement, UpstreamRecord } from '@azurecart/discovery';
import { UpstreamTable } from '@azurecart/discovery';
import { MemoryBudget } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import { checkConfiguration, InvalidConfigurationError } from '../configuration/index.js';
import type { ConfigurationCodec } from '../configuration/index.js';
import { Findings, FindingsFile } from '../findings/index.js';
import type { FindingsUpdate } from '../findings/index.js';
import { createIngress } from '../ingress/index.js';
import { LinkServer, listenAt } from '../links/index.js';
import type { CallHandler, Link } from '../links/index.js';
import { getSeedLinkAddresses } from '../settings/index.js';
import type { ControlSettings } from '../settings/index.js';
import { ClusterMembership } from './ClusterMembership.js';
import { ConfigurationState, encodeOrder, encodeProposal } from './ConfigurationState.js';
import type { VersionedDocument } from './ConfigurationState.js';
import type {
  ControlInterface,
  ControlProtocol,
  EvacuationOutcome,
  SubmitOutcome,
} from './ControlInterface.js';
import { createControlServer } from './createControlServer.js';
import type { EvacuationOrder, EvacuationResult } from './Evacuations.js';
import { EvacuationSubmitter } from './EvacuationSubmitter.js';
import { LinkPeerNetwork } from './LinkPeerNetwork.js';
import { LinkPool } from './LinkPool.js';
import { METHODS } from './messages.js';
import type { JoinRequest, JoinResponse, Subscription, UpstreamUpdate } from './messages.js';
import { PlacementService } from './PlacementService.js';
import { UpdatePublisher } from './UpdatePublisher.js';
import { UpstreamFile } from './UpstreamFile.js';

/** Options of a {@link ControlNode}. */
export interface ControlNodeOptions {
  settings: ControlSettings;
  codec: ConfigurationCodec;
  protocol: ControlProtocol;
  logger: Logger;
}

/**
 * Timing parameters of the replica. The election and member timeouts are shorter than the defaults,
 * so a leader or member that has stopped is replaced sooner. `leaseShare` has no effect, since
 * leases are not used.
 */
const TIMINGS = {
  heartbeatMs: 100,
  electionTimeoutMs: 450,
  rpcTimeoutMs: 500,
  leaseShare: 0.8,
  memberTimeoutMs: 1800,
};
/** Milliseconds for which the listeners wait for the replica to open, as the disk may hang. */
const OPEN_TIMEOUT_MS = 200;
/** Delay in milliseconds before a replica whose storage failed is opened again. */
const REOPEN_DELAY_MS = 400;
/** Time limit in milliseconds for calls to other control processes and for quorum reads. */
const QUORUM_TIMEOUT_MS = 900;
/** Interval in milliseconds between updates of the links and exchanges of announcements. */
const MAINTENANCE_INTERVAL_MS = 500;
/**
 * Interval in milliseconds at which entry processes are sent all upstreams; a sixth of the silence
 * after which they remove an upstream.
 */
const REFRESH_INTERVAL_MS = 10_000;
/** Maximum interval in milliseconds between checks for entry processes without the configuration. */
const PUSH_INTERVAL_MS = 60;
/** Time limit in milliseconds for a departure to be written, once other processes know of it. */
const SAVE_TIMEOUT_MS = 100;
const BYTES_PER_MB = 1024 * 1024;
/** Share of the memory of the process for bodies of requests of operators and upstreams. */
const BODY_MEMORY_SHARE = 0.125;
const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** Size of a body that is accepted with any memory; documents of up to 4 MB are expected. */
const EXPECTED_BODY_BYTES = 5 * 1024 * 1024;
/** Share of the memory for one body; reading a document takes several times its size. */
const MAX_BODY_SHARE = 1 / 32;
/** Number of applied entries between snapshots. */
const SNAPSHOT_ENTRIES = 200;
/**
 * Log size in bytes above which a snapshot is taken earlier. Documents of up to 4 MB are expected,
 * though the control server accepts larger ones; the log and the temporary file that replaces it
 * must fit on a disk of 128 MB.
 */
const SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024;
/**
 * Leader silence in milliseconds up to which the configuration is pushed to entry processes. A
 * replica without leader contact for longer may have an outdated configuration.
 */
const MAX_LEADER_SILENCE_MS = 1500;

/** A control process: replicates the configuration and distributes upstream announcements. */
export class ControlNode implements ControlInterface {
  private replica: Replica | undefined;

  private readonly state: ConfigurationState;

  private readonly table: UpstreamTable;

  private readonly findings: Findings;

  private findingsFile: FindingsFile | undefined;

  private upstreamFile: UpstreamFile | undefined;

  private readonly publisher: UpdatePublisher;

  private readonly evacuationSubmitter: EvacuationSubmitter;

  private readonly linkPool: LinkPool;

  private readonly placement: PlacementService;

  private readonly linkServer: LinkServer;

  private readonly operatorServer: Server;

  private readonly handlers = new Map<string, CallHandler>();

  /** Link address of this process as `host:port`. */
  private readonly ownAddress: string;

  private membership: ClusterMembership | undefined;

  private seeds: string[];

  /** Data centres that the settings name; empty if they name none. */
  private dataCentres: string[];

  private evacuationRevision = 0;

  /** Upstreams that announced themselves here since the last exchange with other processes. */
  private announcedIds = new Set<string>();

  private lastClusterJson = '';

  private refreshedAt = performance.now();

  private isStopped = false;

  constructor(private readonly options: ControlNodeOptions) {
    const { settings, protocol, logger } = options;
    const now = (): number => performance.now();
    this.ownAddress = `${settings.host}:${settings.linkPort}`;
    this.seeds = getSeedLinkAddresses(settings);
    this.dataCentres = settings.dataCentres;
    this.state = new ConfigurationState({
      codec: options.codec,
      onChanged: () => this.applyState(),
    });
    this.table = new UpstreamTable({ now });
    this.findings = new Findings({ now, logger });
    this.publisher = new UpdatePublisher({
      state: this.state,
      table: this.table,
      findings: this.findings,
      now,
      isRecent: () => this.replica?.isRecent(MAX_LEADER_SILENCE_MS) ?? false,
      getCluster: () => this.getCluster(),
      isUnconfirmed: (record) => this.upstreamFile?.isUnconfirmed(record) ?? false,
      dataCentre: settings.dataCentre,
    });
    this.placement = new PlacementService({
      table: this.table,
      getConfiguration: () => this.state.configuration,
      findings: this.findings,
      isLeading: () => this.replica?.role === 'leader',
      logger,
    });
    this.evacuationSubmitter = new EvacuationSubmitter({
      commit: (order) => this.commitOrder(order),
      getRevision: () => this.state.evacuation.revision,
      mayExist: (dataCentre) => this.mayExist(dataCentre),
      logger,
    });
    this.findings.changes.subscribe((update) => this.passOnFindings(update));
    this.linkPool = new LinkPool({
      ownAddress: this.ownAddress,
      handlers: this.handlers,
      onOpen: (link) => this.subscribeTo(link),
    });
    this.linkServer = new LinkServer({
      host: settings.host,
      port: settings.linkPort,
      handlers: this.handlers,
      onLink: (link) => {
        this.placement.attach(link);
        this.receiveFindings(link);
      },
    });
    const memoryBytes = settings.memoryMb * BYTES_PER_MB;
    this.operatorServer = createControlServer({
      protocol,
      control: this,
      ingress: createIngress({ name: 'operators', settings, logger, limits: { maxAhead: 1 } }),
      bodyMemory: new MemoryBudget({ maxBytes: memoryBytes * BODY_MEMORY_SHARE }),
      maxBodyBytes: Math.min(
        MAX_BODY_BYTES,
        Math.max(EXPECTED_BODY_BYTES, memoryBytes * MAX_BODY_SHARE),
      ),
      logger,
    });
    this.addHandlers();
  }

  /** Starts the replica, the listeners and the background tasks. */
  async start(): Promise<void> {
    const { settings, logger } = this.options;
    await this.loadStored();
    this.updateLinks();
    const opened = this.openReplica().catch((error: unknown) => {
      logger.error({ err: error }, 'failed to open the replica storage');
      this.reopen().catch(() => undefined);
    });
    // After a restart of all, many entry processes subscribe at once, which would delay the replica.
    await Promise.race([opened, sleep(OPEN_TIMEOUT_MS)]);
    await this.linkServer.start();
    // The stored members, without which the first election would reach the seeds only.
    this.updateLinks();
    await listenAt(this.operatorServer, settings.operators);
    this.runConfigurationPushes().catch((error: unknown) =>
      logger.error({ err: error }, 'configuration push task failed'),
    );
    this.runMaintenance().catch((error: unknown) =>
      logger.error({ err: error }, 'maintenance task failed'),
    );
    logger.info({ self: this.ownAddress, seeds: this.seeds }, 'control process started');
  }

  /** Stops the process. Acknowledged data is on disk already. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.placement.stop();
    this.membership?.stop();
    this.operatorServer.close();
    this.operatorServer.closeAllConnections();
    await this.replica?.stop();
    await this.upstreamFile?.save();
    this.linkServer.stop();
    this.linkPool.stop();
  }

  /** True while this process is a voting member of the cluster. */
  get isVoter(): boolean {
    const { replica } = this;
    return replica?.getMembers().some(({ id, voter }) => voter && id === replica.id) ?? false;
  }

  /** Applies the seeds and data centres of changed settings; other settings take effect at the next start. */
  reload(settings: ControlSettings): void {
    this.seeds = getSeedLinkAddresses(settings);
    this.dataCentres = settings.dataCentres;
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
      if (!(error instanceof InvalidConfigurationError)) throw error;
      logger.info({ reason: error.message }, 'configuration rejected');
      return { kind: 'invalid', reason: error.message };
    }
    if (this.state.current && this.state.current.version >= version) return { kind: 'accepted' };
    try {
      await this.commit({ version, document });
      logger.info({ version }, 'configuration accepted');
      return { kind: 'accepted' };
    } catch (error) {
      logger.warn(
        { version, err: error },
        'failed to commit the configuration or to confirm its commit',
      );
      // The commit may also have failed because there is no leader or there are too few voters.
      return { kind: 'unknown', reason: 'no quorum confirmed it in time' };
    }
  }

  async read(): Promise<Uint8Array | undefined> {
    try {
      if (this.replica?.role === 'leader') {
        const isConfirmed = await this.replica.confirmRead(QUORUM_TIMEOUT_MS);
        return isConfirmed ? this.state.current?.document : undefined;
      }
      const response = await this.callLeader(METHODS.read, null);
      return response instanceof Uint8Array ? response : undefined;
    } catch (error) {
      this.options.logger.debug({ err: error }, 'quorum read failed');
      return undefined;
    }
  }

  setEvacuated(dataCentre: string, isEvacuated: boolean): Promise<EvacuationOutcome> {
    return this.evacuationSubmitter.submit(dataCentre, isEvacuated);
  }

  async announce(announcement: Announcement): Promise<void> {
    const result = this.table.merge(announcement);
    this.announcedIds.add(announcement.id);
    const record = this.table.getUpstream(announcement.id);
    if (result !== 'changed' || !record) return;
    const { id, service, state } = announcement;
    this.options.logger.info({ upstream: id, service, state }, 'upstream announced');
    if (state === 'ready') this.publisher.pushUpstream(record);
    else await this.confirmDeparture(record);
  }

  async leave(id: string, bornAt: number | undefined): Promise<boolean> {
    const known = this.table.getUpstream(id);
    if (!known || known.bornAt < (bornAt ?? known.bornAt)) return false;
    if (known.bornAt > (bornAt ?? known.bornAt)) return true;
    const record = this.table.markGone(id);
    if (!record) return true;
    this.options.logger.info({ upstream: id }, 'upstream left');
    await this.confirmDeparture(record);
    return true;
  }

  /** Waits until other processes know of a departure and it is on disk, both for a limited time. */
  private async confirmDeparture(record: UpstreamRecord): Promise<void> {
    const saved = this.upstreamFile?.save();
    await this.publisher.confirmUpstream(record);
    await Promise.race([saved, sleep(SAVE_TIMEOUT_MS, undefined, { ref: false })]);
  }

  private async commit(proposed: VersionedDocument): Promise<void> {
    if (this.replica?.role === 'leader') await this.propose(encodeProposal(proposed));
    else await this.callLeader(METHODS.propose, proposed);
  }

  private async commitOrder(order: EvacuationOrder): Promise<EvacuationResult> {
    const result =
      this.replica?.role === 'leader'
        ? await this.propose(encodeOrder(order))
        : await this.callLeader(METHODS.evacuate, order);
    return result as EvacuationResult;
  }

  /** Proposes a command as the leader and gets the result of applying it. */
  private async propose(command: Uint8Array): Promise<unknown> {
    const { replica } = this;
    if (!replica) throw new NotLeaderError(undefined);
    const voters = replica.getMembers().filter((member) => member.voter).length;
    const needed = this.getNeededVoters();
    if (voters < needed) throw new Error(`${voters} voters are too few, ${needed} are needed`);
    return replica.propose(command);
  }

  /**
   * Gets the number of voters that a proposal requires. For f tolerated losses, 2f voters have
   * quorums of f + 1, so what is committed survives the losses. What comes before or with the first document requires
   * 2f + 1 voters, so that a quorum remains after the losses too; later on a voter is missing only
   * while it is being replaced.
   */
  private getNeededVoters(): number {
    const { toleratedLosses } = this.options.settings;
    return this.state.current ? 2 * toleratedLosses : 2 * toleratedLosses + 1;
  }

  private async callLeader(method: string, body: unknown): Promise<unknown> {
    const leader = this.replica?.getLeaderAddress();
    if (!leader || leader === this.ownAddress) throw new NotLeaderError(leader);
    return this.linkPool.getLink(leader).call(method, body, QUORUM_TIMEOUT_MS);
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
    add<JoinRequest>(METHODS.join, (body) => this.handleJoin(body));
    add<VersionedDocument>(METHODS.propose, async (body) => {
      await this.propose(encodeProposal(body));
    });
    add<EvacuationOrder>(METHODS.evacuate, (body) => this.propose(encodeOrder(body)));
    add(METHODS.read, async () => {
      const { replica } = this;
      if (replica?.role !== 'leader') return null;
      return (await replica.confirmRead(QUORUM_TIMEOUT_MS)) ? this.state.current?.document : null;
    });
    add<Subscription>(METHODS.subscribe, (body, link) => this.publisher.addSubscriber(body, link));
    add<UpstreamUpdate>(METHODS.upstreams, (body) => this.mergeUpstreams(body));
  }

  /** Publishes the committed state, and heeds the evacuated data centres here. */
  private applyState(): void {
    const { revision, dataCentres } = this.state.evacuation;
    if (revision !== this.evacuationRevision) {
      this.evacuationRevision = revision;
      this.table.setEvacuated(dataCentres);
      this.placement.updateEngines();
      this.options.logger.info({ revision, dataCentres }, 'evacuated data centres changed');
    }
    this.publisher.pushState();
  }

  /**
   * Returns false if a data centre certainly does not exist: the settings name others, and nothing
   * is known to be there. Settings may be older than a new data centre.
   */
  private mayExist(dataCentre: string): boolean {
    if (this.dataCentres.length === 0) return true;
    const known = [
      ...this.dataCentres,
      ...this.state.evacuation.dataCentres,
      ...this.table.getRecords().map((record) => record.dataCentre),
    ];
    return known.includes(dataCentre);
  }

  private handleJoin({ id, address }: JoinRequest): JoinResponse {
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

  private subscribeTo(link: Link): void {
    link.subscribe(({ method, body }) => {
      if (method === METHODS.upstreams) this.mergeUpstreams(body as UpstreamUpdate);
    });
    this.receiveFindings(link);
    const subscription: Subscription = {
      kind: 'control',
      vm: this.options.settings.vm,
      version: 0,
    };
    link.call(METHODS.subscribe, subscription, QUORUM_TIMEOUT_MS).catch(() => link.close());
  }

  /** Merges the findings of another process, and passes on what is new here. */
  private receiveFindings(link: Link): void {
    link.subscribe(({ method, body }) => {
      if (method !== METHODS.findings) return;
      const changed = this.findings.merge(body as FindingsUpdate);
      if (changed) this.passOnFindings(changed, link);
    });
  }

  private passOnFindings(update: FindingsUpdate, source?: Link): void {
    this.publisher.pushFindings(update, source);
    this.findingsFile?.save().catch(() => undefined);
  }

  /** Loads the findings and upstreams on disk; entry processes get them with their subscription. */
  private async loadStored(): Promise<void> {
    const { settings, logger } = this.options;
    try {
      const disk = await FolderDisk.open(settings.dataFolder);
      this.findingsFile = new FindingsFile({ disk, findings: this.findings, logger });
      await this.findingsFile.load();
      this.upstreamFile = new UpstreamFile({ disk, table: this.table, logger });
      await this.upstreamFile.load();
    } catch (error) {
      logger.warn({ err: error }, 'no stored findings and upstreams');
    }
  }

  private mergeUpstreams({ records }: UpstreamUpdate): void {
    for (const { ageMs, ...announcement } of records) {
      const result = this.table.merge(announcement, ageMs);
      const record = this.table.getUpstream(announcement.id);
      if (result === 'changed' && record) this.publisher.pushUpstream(record);
    }
  }

  private updateLinks(): void {
    this.linkPool.retain([...this.seeds, ...this.getCluster().members]);
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
      name: this.ownAddress,
      address: this.ownAddress,
      storage: new FileStorage(disk),
      stateMachine: this.state,
      network: new LinkPeerNetwork(this.linkPool),
      timings: TIMINGS,
      snapshotEvery: SNAPSHOT_ENTRIES,
      snapshotBytes: SNAPSHOT_LOG_BYTES,
      // Every read and write is confirmed by a quorum, so leader leases are not needed.
      usesLeases: false,
      targetVoters: 2 * settings.toleratedLosses + 1,
      onEvent: (event) => this.onReplicaEvent(event),
    });
    await replica.start();
    this.replica = replica;
    const { linkPool, ownAddress } = this;
    this.membership = new ClusterMembership({
      replica,
      disk,
      linkPool,
      ownAddress,
      getSeeds: () => this.seeds,
      isFirstStart: settings.isFirstStart,
      logger,
    });
    this.membership
      .run()
      .catch((error: unknown) => logger.error({ err: error }, 'membership task failed'));
  }

  private onReplicaEvent(event: ReplicaEvent): void {
    this.options.logger.info(event, 'replica event');
    if (event.kind === 'role') {
      this.publisher.pushCluster();
    }
    if (event.kind === 'fatal') this.reopen().catch(() => undefined);
  }

  /**
   * Reopens the replica from disk, after it has failed or could not be opened. After a failed
   * write, its memory and the disk may differ.
   */
  private async reopen(): Promise<void> {
    const { replica } = this;
    this.replica = undefined;
    this.membership?.stop();
    await replica?.stop().catch(() => undefined);
    while (!this.isStopped) {
      await sleep(REOPEN_DELAY_MS);
      try {
        await this.openReplica();
        return;
      } catch (error) {
        this.options.logger.warn({ err: error }, 'failed to reopen the replica storage');
        await this.deleteCorruptStorage(error);
      }
    }
  }

  /**
   * Deletes the data folder if the storage is corrupt, including the identity and the bootstrap
   * marker. The replica must not vote with incomplete data, so it rejoins as a new member.
   */
  private async deleteCorruptStorage(error: unknown): Promise<void> {
    if (!(error instanceof CorruptStorageError)) return;
    await rm(this.options.settings.dataFolder, { recursive: true, force: true });
  }

  private async runMaintenance(): Promise<void> {
    while (!this.isStopped) {
      await sleep(MAINTENANCE_INTERVAL_MS);
      if (this.isStopped) return;
      this.updateLinks();
      this.table.removeExpired();
      this.upstreamFile?.save().catch(() => undefined);
      this.findings.removeExpired((id) => this.table.getUpstream(id) !== undefined);
      this.shareAnnouncedUpstreams();
      this.refreshUpstreams();
      const cluster = JSON.stringify(this.getCluster());
      if (cluster !== this.lastClusterJson) this.publisher.pushCluster();
      this.lastClusterJson = cluster;
    }
  }

  /**
   * Pushes the configuration after each change of the replica, and at an interval, since the
   * configuration can become recent without such a change.
   */
  private async runConfigurationPushes(): Promise<void> {
    while (!this.isStopped) {
      await this.waitForReplicaChange();
      this.publisher.pushState();
    }
  }

  private async waitForReplicaChange(): Promise<void> {
    if (this.replica) await this.replica.waitForChange(PUSH_INTERVAL_MS);
    else await sleep(PUSH_INTERVAL_MS);
  }

  private refreshUpstreams(): void {
    if (performance.now() - this.refreshedAt < REFRESH_INTERVAL_MS) return;
    this.refreshedAt = performance.now();
    this.publisher.refreshUpstreams();
  }

  private shareAnnouncedUpstreams(): void {
    const records = [...this.announcedIds].flatMap((id) => this.table.getUpstream(id) ?? []);
    this.announcedIds = new Set();
    if (records.length > 0) this.publisher.shareUpstreams(records);
  }
}
