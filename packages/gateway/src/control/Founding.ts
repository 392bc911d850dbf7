import { setTimeout as sleep } from 'node:timers/promises';
import type { Disk, Replica } from '@azurecart/consensus';
import type { Logger } from '@azurecart/telemetry';
import type { Mesh } from './Mesh.js';
import { METHODS } from './messages.js';
import type { JoinRequest, ProbeAnswer, Referral } from './messages.js';

/** What a replica needs to find or found its cluster. */
export interface FoundingOptions {
  replica: Replica;
  disk: Disk;
  mesh: Mesh;
  /** This process's `host:port` for links. */
  self: string;
  /** Link addresses of the seeds; they may change. */
  getSeeds: () => string[];
  isFirstStart: boolean;
  logger: Logger;
}

const RETRY_MS = 200;
/** Silence of the leader in milliseconds after which a member asks to join again. */
const FORSAKEN_MS = 2000;
const CALL_TIMEOUT_MS = 800;
/** Marks a disk that took part in the first start, so that a restart may still found the cluster. */
const FOUNDER_FILE = 'founder';

/**
 * Brings a replica into the cluster.
 * @remarks Only at the first start, and only the seed with the lowest address, founds a cluster,
 * once every other seed has answered that it has none. All others join. A wiped disk carries no
 * founder's mark, so it never founds a second cluster beside a living one.
 */
export class Founding {
  private isStopped = false;

  constructor(private readonly options: FoundingOptions) {}

  /**
   * Joins whenever the replica is no member or hears no leader, until stopped. A replica that was
   * replaced while it was cut off does not know that, for its log ends before its removal.
   */
  async run(): Promise<void> {
    const mayFound = await this.isFounder();
    while (!this.isStopped) {
      if (!this.isMember() || this.isForsaken())
        await this.findCluster(mayFound).catch(() => undefined);
      await sleep(RETRY_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async isFounder(): Promise<boolean> {
    const { disk, isFirstStart } = this.options;
    if (await disk.read(FOUNDER_FILE)) return true;
    if (isFirstStart) await disk.replace(FOUNDER_FILE, Buffer.from('1'));
    return isFirstStart;
  }

  private isMember(): boolean {
    const { replica } = this.options;
    return replica.getMembers().some((member) => member.id === replica.id);
  }

  private isForsaken(): boolean {
    return this.options.replica.leaderSilenceMs > FORSAKEN_MS;
  }

  private async findCluster(mayFound: boolean): Promise<void> {
    const { mesh, self, replica, getSeeds, logger } = this.options;
    const known = [...new Set([...getSeeds(), ...mesh.getAddresses()])];
    const others = known.filter((address) => address !== self);
    const answers = await Promise.allSettled(others.map((address) => this.probe(address)));
    const found = answers.flatMap((answer) => (answer.status === 'fulfilled' ? answer.value : []));
    if (replica.isInitialised || found.some((answer) => answer.isInitialised)) {
      await this.joinAny(others);
      return;
    }
    const seeds = getSeeds();
    const isLowest = seeds.includes(self) && seeds.every((seed) => self <= seed);
    if (!mayFound || !isLowest || found.length < others.length) return;
    logger.info({ seeds }, 'founding the cluster');
    await replica.bootstrap();
  }

  private async probe(address: string): Promise<ProbeAnswer> {
    const link = this.options.mesh.getLink(address);
    return (await link.call(METHODS.probe, null, CALL_TIMEOUT_MS)) as ProbeAnswer;
  }

  private async joinAny(addresses: string[]): Promise<void> {
    for (const address of addresses) {
      const referral = await this.join(address);
      if (referral?.isAccepted) return;
      if (referral?.leader && (await this.join(referral.leader))?.isAccepted) return;
    }
  }

  private async join(address: string): Promise<Referral | undefined> {
    const { mesh, replica, self } = this.options;
    const request: JoinRequest = { id: replica.id, address: self };
    try {
      const link = mesh.getLink(address);
      return (await link.call(METHODS.join, request, CALL_TIMEOUT_MS)) as Referral;
    } catch {
      return undefined;
    }
  }
}
