import { setTimeout as sleep } from 'node:timers/promises';
import { FileStorage, Replica } from '../../src/index.js';
import type { Peer, PeerNetwork, ReplicaEvent } from '../../src/index.js';
import { MemoryDisk } from '../storage/MemoryDisk.js';
import { TextList } from './TextList.js';

/** A replica under test with its state machine, disk and recorded events. */
export interface TestNode {
  name: string;
  replica: Replica;
  stateMachine: TextList;
  disk: MemoryDisk;
  events: ReplicaEvent[];
}

const WAIT_MS = 15_000;
const POLL_MS = 10;

/**
 * A cluster of replicas in one process, with injectable link failures and delays.
 * @remarks An instance with `root` set is the network of the one replica at `ownAddress`: it holds
 * no nodes itself and delegates to `root`, the cluster.
 */
export class Cluster implements PeerNetwork {
  readonly nodes = new Map<string, TestNode>();

  /** Number of voters at which further members stay learners. */
  targetVoters = Infinity;

  memberTimeoutMs = 2000;

  private delayMs = 0;

  private readonly cutLinks = new Set<string>();

  private idCount = 0;

  constructor(
    private readonly ownAddress = '',
    private readonly root: Cluster | undefined = undefined,
    private readonly snapshotEvery = 1000,
  ) {}

  openPeer(address: string): Peer {
    const root = this.root ?? this;
    const call = async <T>(run: (replica: Replica) => Promise<T>): Promise<T> => {
      const target = root.nodes.get(address);
      if (!target || root.isLinkCut(this.ownAddress, address)) return root.dropMessage();
      const response = structuredClone(await run(target.replica));
      if (root.delayMs > 0) await sleep(root.delayMs);
      if (root.isLinkCut(address, this.ownAddress)) return root.dropMessage();
      return response;
    };
    return {
      vote: (request) => call((replica) => replica.vote(request)),
      append: (request) => call((replica) => replica.append(structuredClone(request))),
      installSnapshot: (request) => call((replica) => replica.installSnapshot(request)),
      close: () => undefined,
    };
  }

  /** Starts a replica; by default with an empty disk and a new identifier. */
  async start(name: string, disk = new MemoryDisk(), id = this.createId(name)): Promise<TestNode> {
    const stateMachine = new TextList();
    const events: ReplicaEvent[] = [];
    const replica = new Replica({
      id,
      name,
      address: name,
      storage: new FileStorage(disk),
      stateMachine,
      network: new Cluster(name, this),
      timings: {
        electionTimeoutMs: 150,
        heartbeatMs: 30,
        rpcTimeoutMs: 100,
        memberTimeoutMs: this.memberTimeoutMs,
      },
      targetVoters: this.targetVoters,
      snapshotEvery: this.snapshotEvery,
      onEvent: (event) => events.push(event),
    });
    const node = { name, replica, stateMachine, disk, events };
    this.nodes.set(name, node);
    await replica.start();
    return node;
  }

  /** Starts three replicas and joins them to a cluster. */
  async startThree(): Promise<[TestNode, TestNode, TestNode]> {
    const a = await this.start('a');
    await a.replica.bootstrap();
    await this.getLeader();
    const b = await this.join('b');
    const c = await this.join('c');
    return [a, b, c];
  }

  /** Starts a replica and waits until it is a voter. */
  async join(name: string): Promise<TestNode> {
    const node = await this.start(name);
    await this.waitFor(async () => {
      const leader = await this.getLeader();
      leader.replica.addMember({ id: node.replica.id, name, address: name });
      return leader.replica
        .getMembers()
        .some((member) => member.id === node.replica.id && member.voter);
    });
    return node;
  }

  async stop(name: string): Promise<TestNode> {
    const node = this.nodes.get(name);
    if (!node) throw new Error(`no node ${name}`);
    this.nodes.delete(name);
    await node.replica.stop();
    return node;
  }

  async stopAll(): Promise<void> {
    for (const name of [...this.nodes.keys()]) await this.stop(name);
  }

  /** Cuts the links of a node to all others in both directions. */
  isolate(name: string): void {
    for (const other of this.nodes.keys()) {
      this.cutLink(name, other);
      this.cutLink(other, name);
    }
  }

  /** Drops all messages in one direction of a link. */
  cutLink(from: string, to: string): void {
    if (from !== to) this.cutLinks.add(`${from} ${to}`);
  }

  /** Delays every response. */
  delayResponses(delayMs: number): void {
    this.delayMs = delayMs;
  }

  heal(): void {
    this.cutLinks.clear();
  }

  isLinkCut(from: string, to: string): boolean {
    return this.cutLinks.has(`${from} ${to}`);
  }

  /** Waits for a leader with a valid lease and gets it. */
  async getLeader(): Promise<TestNode> {
    let found: TestNode | undefined;
    await this.waitFor(async () => {
      found = [...this.nodes.values()].find(({ replica }) => replica.hasLease());
      return found !== undefined;
    });
    if (!found) throw new Error('no leader');
    return found;
  }

  /** Proposes a text, retrying until it is committed. */
  async commitText(text: string): Promise<void> {
    await this.waitFor(async () => {
      const leader = await this.getLeader();
      return leader.replica.propose(Buffer.from(text)).then(
        () => true,
        () => false,
      );
    });
  }

  async waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
    const deadline = performance.now() + WAIT_MS;
    while (performance.now() < deadline) {
      if (await condition()) return;
      await sleep(POLL_MS);
    }
    throw new Error('condition not met within the time limit');
  }

  private async dropMessage(): Promise<never> {
    await sleep(POLL_MS);
    throw new Error('message dropped');
  }

  private createId(name: string): string {
    this.idCount += 1;
    return `${name}-${this.idCount}`;
  }
}
