import { setTimeout as sleep } from 'node:timers/promises';
import { ConsensusService } from '@azurecart/protocol';
import type { Replica } from '@azurecart/consensus';
import type { Logger } from '@azurecart/telemetry';
import { getLeaderHint } from '../rpc/index.js';
import type { RpcClients } from '../rpc/index.js';

/** Options of {@link ClusterJoiner}. */
export interface ClusterJoinerOptions {
  replica: Replica;
  name: string;
  address: string;
  /** All control processes listed in the settings, including this one. */
  members: { name: string; address: string }[];
  clients: RpcClients;
  logger: Logger;
}

const RETRY_DELAY_MS = 200;
/**
 * Leader silence after which a learner asks to join again. Equals the default member timeout of the
 * replica, after which the leader removes an unresponsive learner.
 */
const REJOIN_SILENCE_MS = 2000;
/** Timeout of the probe and join calls. */
const CALL_TIMEOUT_MS = 1000;

/**
 * Makes a replica with an empty disk a member of a cluster.
 * @remarks A new cluster is bootstrapped only when every other control process listed in the
 * settings responds that it is not initialised. The process with the lowest name then bootstraps a
 * cluster of one member, and the others join it. A process whose disk was wiped therefore never
 * creates a second cluster beside a running one.
 */
export class ClusterJoiner {
  private isStopped = false;

  constructor(private readonly options: ClusterJoinerOptions) {}

  /**
   * Joins until the replica is a member, then whenever it is a learner that hears from no leader, until
   * stopped. The latter covers a learner that was removed while it was unresponsive: its log ends
   * before its removal, so it still considers itself a member.
   */
  async run(): Promise<void> {
    const { replica, logger } = this.options;
    let hasJoined = false;
    while (!this.isStopped) {
      if (!hasJoined && this.isMember()) {
        hasJoined = true;
        logger.info({ id: replica.id }, 'replica is a member of the control cluster');
      }
      if (!hasJoined || this.isLostLearner()) await this.joinOrBootstrap().catch(() => undefined);
      await sleep(RETRY_DELAY_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private isMember(): boolean {
    const { replica } = this.options;
    return replica.getMembers().some((member) => member.id === replica.id);
  }

  private isLostLearner(): boolean {
    const { replica } = this.options;
    const isLearner = replica.getMembers().some(({ id, voter }) => id === replica.id && !voter);
    return isLearner && replica.msSinceLeaderContact > REJOIN_SILENCE_MS;
  }

  private async joinOrBootstrap(): Promise<void> {
    const { members, name, replica } = this.options;
    const otherMembers = members.filter((member) => member.name !== name);
    const probes = await Promise.allSettled(
      otherMembers.map((member) => this.probe(member.address)),
    );
    const responses = probes.flatMap((probe) => (probe.status === 'fulfilled' ? probe.value : []));
    const initialisedPeers = responses.filter((response) => response.initialised);
    if (initialisedPeers.length > 0 || replica.isInitialised) {
      await this.joinThroughAny(otherMembers.map((member) => member.address));
      return;
    }
    const hasLowestName = otherMembers.every((member) => name < member.name);
    if (hasLowestName && responses.length === otherMembers.length) await replica.bootstrap();
  }

  private async probe(address: string) {
    const client = this.options.clients.getClient(ConsensusService, address);
    return client.probe({}, { timeoutMs: CALL_TIMEOUT_MS });
  }

  private async joinThroughAny(addresses: string[]): Promise<void> {
    for (const address of addresses) {
      const result = await this.join(address);
      if (result === 'accepted') return;
      if (result && (await this.join(result)) === 'accepted') return;
    }
  }

  /** Gets `accepted`, or the leader's address when the error names one. */
  private async join(address: string): Promise<string | undefined> {
    const { replica, name, address: ownAddress, clients } = this.options;
    const client = clients.getClient(ConsensusService, address);
    try {
      await client.join(
        { id: replica.id, name, address: ownAddress },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      return 'accepted';
    } catch (error) {
      return getLeaderHint(error);
    }
  }
}
