import { setTimeout as sleep } from 'node:timers/promises';
import type { Disk, Replica } from '@azurecart/consensus';
import type { Logger } from '@azurecart/telemetry';
import type { LinkPool } from './LinkPool.js';
import { METHODS } from './messages.js';
import type { JoinRequest, JoinResponse, ProbeResponse } from './messages.js';

/** Options of a {@link ClusterMembership}. */
export interface ClusterMembershipOptions {
  replica: Replica;
  disk: Disk;
  linkPool: LinkPool;
  /** Link address of this process as `host:port`. */
  ownAddress: string;
  /** Gets the link addresses of the seeds, which may change at run time. */
  getSeeds: () => string[];
  isFirstStart: boolean;
  logger: Logger;
}

const RETRY_INTERVAL_MS = 200;
/**
 * Leader silence in milliseconds after which a member asks to join again. Longer than the member
 * timeout of the replica, after which the leader may have replaced this member.
 */
const REJOIN_SILENCE_MS = 2000;
const CALL_TIMEOUT_MS = 800;
/** Marks a disk that took part in the first start, so that a restart can still bootstrap. */
const BOOTSTRAP_MARKER_FILE = 'founder';

/**
 * Makes a replica a member of the cluster.
 * @remarks Only the seed whose address is first in string order bootstraps a cluster, only if its
 * disk took part in the first start, and only after every other known process has responded that it
 * has never belonged to one. All others join. A process whose replica is not open gives the same
 * response, although its disk may belong to a cluster. A wiped disk has no bootstrap marker, so
 * unless `isFirstStart` is still set, a replica that lost its disk cannot bootstrap a second
 * cluster beside the existing one.
 */
export class ClusterMembership {
  private isStopped = false;

  constructor(private readonly options: ClusterMembershipOptions) {}

  /**
   * Joins whenever the replica is not a member or hears from no leader, until stopped. The latter
   * covers a replica that was replaced while it was partitioned: its log ends before its removal, so
   * it still considers itself a member.
   */
  async run(): Promise<void> {
    const mayBootstrap = await this.mayBootstrap();
    while (!this.isStopped) {
      if (!this.isMember() || this.hasLostLeader())
        await this.findCluster(mayBootstrap).catch(() => undefined);
      await sleep(RETRY_INTERVAL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Checks for the bootstrap marker, and writes it at the first start. */
  private async mayBootstrap(): Promise<boolean> {
    const { disk, isFirstStart } = this.options;
    if (await disk.read(BOOTSTRAP_MARKER_FILE)) return true;
    if (isFirstStart) await disk.replace(BOOTSTRAP_MARKER_FILE, Buffer.from('1'));
    return isFirstStart;
  }

  private isMember(): boolean {
    const { replica } = this.options;
    return replica.getMembers().some((member) => member.id === replica.id);
  }

  private hasLostLeader(): boolean {
    return this.options.replica.msSinceLeaderContact > REJOIN_SILENCE_MS;
  }

  private async findCluster(mayBootstrap: boolean): Promise<void> {
    const { linkPool, ownAddress, replica, getSeeds, logger } = this.options;
    const addresses = [...new Set([...getSeeds(), ...linkPool.getAddresses()])];
    const others = addresses.filter((address) => address !== ownAddress);
    const results = await Promise.allSettled(others.map((address) => this.probe(address)));
    const responses = results.flatMap((result) =>
      result.status === 'fulfilled' ? result.value : [],
    );
    if (replica.isInitialised || responses.some((response) => response.isInitialised)) {
      await this.joinThroughAny(others);
      return;
    }
    const seeds = getSeeds();
    const isFirstSeed = seeds.includes(ownAddress) && seeds.every((seed) => ownAddress <= seed);
    if (!mayBootstrap || !isFirstSeed || responses.length < others.length) return;
    logger.info({ seeds }, 'bootstrapping the cluster');
    await replica.bootstrap();
  }

  private async probe(address: string): Promise<ProbeResponse> {
    const link = this.options.linkPool.getLink(address);
    return (await link.call(METHODS.probe, null, CALL_TIMEOUT_MS)) as ProbeResponse;
  }

  private async joinThroughAny(addresses: string[]): Promise<void> {
    for (const address of addresses) {
      const response = await this.join(address);
      if (response?.isAccepted) return;
      if (response?.leader && (await this.join(response.leader))?.isAccepted) return;
    }
  }

  private async join(address: string): Promise<JoinResponse | undefined> {
    const { linkPool, replica, ownAddress } = this.options;
    const request: JoinRequest = { id: replica.id, address: ownAddress };
    try {
      const link = linkPool.getLink(address);
      return (await link.call(METHODS.join, request, CALL_TIMEOUT_MS)) as JoinResponse;
    } catch {
      return undefined;
    }
  }
}
