import { setTimeout as sleep } from 'node:timers/promises';
import { FileStorage, Replica } from '../../src/index.js';
import type { Peer, PeerNetwork, ReplicaEvent } from '../../src/index.js';
import { MemoryDisk } from '../storage/MemoryDisk.js';
import { TextList } from './TextList.js';

/** A replica of a test, with its disk. */
export interface Node {
  name: string;
  replica: Replica;
  machine: TextList;
  disk: MemoryDisk;
  events: ReplicaEvent[];
}

const WAIT_MS = 15_000;
const POLL_MS = 10;

/** Replicas in one process, with links that a test cuts. */
export class Cluster implements PeerNetwork {
  readonly nodes = new Map<string, Node>();

  /** Voters beyond which newcomers stay learners. */
  targetVoters = Infinity;

  memberSilenceMs = 2000;

  private delayMs = 0;

  private readonly cuts = new Set<string>();

  private count = 0;

  constructor(
    private readonly owner = '',
    private readonly root: Cluster | undefined = undefined,
    private readonly snapshotEvery = 1000,
  ) {}

  openPeer(address: string): Peer {
    const root = this.root ?? this;
    const call = async <T>(run: (replica: Replica) => Promise<T>): Promise<T> => {
      const target = root.nodes.get(address);
      if (!target || root.isCut(this.owner, address)) return root.loseMessage();
      const answer = structuredClone(await run(target.replica));
      if (root.delayMs > 0) await sleep(root.delayMs);
      if (root.isCut(address, this.owner)) return root.loseMessage();
      return answer;
    };
    return {
      vote: (request) => call((replica) => replica.vote(request)),
      append: (request) => call((replica) => replica.append(structuredClone(request))),
      installSnapshot: (request) => call((replica) => replica.installSnapshot(request)),
      close: () => undefined,
    };
  }

  /** Starts a replica on a disk; a fresh disk gets a fresh identity. */
  async start(name: string, disk = new MemoryDisk(), id = this.createId(name)): Promise<Node> {
    const machine = new TextList();
    const events: ReplicaEvent[] = [];
    const replica = new Replica({
      id,
      name,
      address: name,
      storage: new FileStorage(disk),
      machine,
      network: new Cluster(name, this),
      timings: {
        electionTimeoutMs: 150,
        heartbeatMs: 30,
        rpcTimeoutMs: 100,
        memberSilenceMs: this.memberSilenceMs,
      },
      targetVoters: this.targetVoters,
      snapshotEvery: this.snapshotEvery,
      onEvent: (event) => events.push(event),
    });
    const node = { name, replica, machine, disk, events };
    this.nodes.set(name, node);
    await replica.start();
    return node;
  }

  /** Starts three replicas that form a cluster. */
  async startThree(): Promise<[Node, Node, Node]> {
    const a = await this.start('a');
    await a.replica.bootstrap();
    await this.getLeader();
    const b = await this.join('b');
    const c = await this.join('c');
    return [a, b, c];
  }

  /** Starts a replica and waits until it is a voter. */
  async join(name: string): Promise<Node> {
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

  async stop(name: string): Promise<Node> {
    const node = this.nodes.get(name);
    if (!node) throw new Error(`no node ${name}`);
    this.nodes.delete(name);
    await node.replica.stop();
    return node;
  }

  async stopAll(): Promise<void> {
    for (const name of [...this.nodes.keys()]) await this.stop(name);
  }

  /** Cuts a node off in both directions. */
  isolate(name: string): void {
    for (const other of this.nodes.keys()) {
      this.cut(name, other);
      this.cut(other, name);
    }
  }

  /** Cuts one direction of a link. */
  cut(from: string, to: string): void {
    if (from !== to) this.cuts.add(`${from} ${to}`);
  }

  /** Makes every answer take a while. */
  slowDown(delayMs: number): void {
    this.delayMs = delayMs;
  }

  heal(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from} ${to}`);
  }

  /** Waits for a node that leads with a lease. */
  async getLeader(): Promise<Node> {
    let found: Node | undefined;
    await this.waitFor(async () => {
      found = [...this.nodes.values()].find(({ replica }) => replica.hasLease());
      return found !== undefined;
    });
    if (!found) throw new Error('no leader');
    return found;
  }

  /** Proposes a text until a leader has committed it. */
  async add(text: string): Promise<void> {
    await this.waitFor(async () => {
      const leader = await this.getLeader();
      return leader.replica.propose(Buffer.from(text)).then(
        () => true,
        () => false,
      );
    });
  }

  async waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
    const endAt = performance.now() + WAIT_MS;
    while (performance.now() < endAt) {
      if (await condition()) return;
      await sleep(POLL_MS);
    }
    throw new Error('waited too long');
  }

  private async loseMessage(): Promise<never> {
    await sleep(POLL_MS);
    throw new Error('no answer');
  }

  private createId(name: string): string {
    this.count += 1;
    return `${name}-${this.count}`;
  }
}
