import { setTimeout as sleep } from 'node:timers/promises';
import { ConsensusService } from '@azurecart/protocol';
import type { Replica } from '@azurecart/consensus';
import type { Logger } from '@azurecart/telemetry';
import { getLeaderHint } from '../rpc/index.js';
import type { RpcClients } from '../rpc/index.js';

/** What a process needs to find its cluster. */
export interface MembershipOptions {
  replica: Replica;
  name: string;
  address: string;
  /** All control processes of the settings, this one included. */
  members: { name: string; address: string }[];
  clients: RpcClients;
  logger: Logger;
}

const RETRY_MS = 200;
const PROBE_TIMEOUT_MS = 1000;

/**
 * Brings a replica with an empty disk into a cluster.
 * @remarks A new cluster starts only when every control process of the settings answers that it
 * has none; the first one by name then starts it alone and the others join. A wiped process thus
 * never starts a second cluster beside a living one.
 */
export class Membership {
  private isStopped = false;

  constructor(private readonly options: MembershipOptions) {}

  /** Runs until the replica is a member. */
  async run(): Promise<void> {
    const { replica } = this.options;
    while (!this.isStopped && !this.isMember()) {
      await this.findCluster().catch(() => undefined);
      await sleep(RETRY_MS);
    }
    this.options.logger.info({ id: replica.id }, 'member of the control cluster');
  }

  stop(): void {
    this.isStopped = true;
  }

  private isMember(): boolean {
    const { replica } = this.options;
    return replica.getMembers().some((member) => member.id === replica.id);
  }

  private async findCluster(): Promise<void> {
    const { members, name, replica } = this.options;
    const others = members.filter((member) => member.name !== name);
    const answers = await Promise.allSettled(others.map((member) => this.probe(member.address)));
    const known = answers.flatMap((answer) => (answer.status === 'fulfilled' ? answer.value : []));
    const hosts = known.filter((answer) => answer.initialised);
    if (hosts.length > 0 || replica.isInitialised) {
      await this.joinAny(others.map((member) => member.address));
      return;
    }
    const isFirst = others.every((member) => name < member.name);
    if (isFirst && known.length === others.length) await replica.bootstrap();
  }

  private async probe(address: string) {
    const client = this.options.clients.getClient(ConsensusService, address);
    return client.probe({}, { timeoutMs: PROBE_TIMEOUT_MS });
  }

  private async joinAny(addresses: string[]): Promise<void> {
    for (const address of addresses) {
      const hint = await this.join(address);
      if (hint === 'accepted') return;
      if (hint && (await this.join(hint)) === 'accepted') return;
    }
  }

  private async join(address: string): Promise<string | undefined> {
    const { replica, name, address: own, clients } = this.options;
    const client = clients.getClient(ConsensusService, address);
    try {
      await client.join({ id: replica.id, name, address: own }, { timeoutMs: PROBE_TIMEOUT_MS });
      return 'accepted';
    } catch (error) {
      return getLeaderHint(error);
    }
  }
}
