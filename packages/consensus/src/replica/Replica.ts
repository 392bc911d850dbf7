import { FatalFault, NotLeader } from '../errors/index.js';
import { encodeMembers } from '../log/index.js';
import type { Member } from '../log/index.js';
import type { Storage } from '../storage/index.js';
import { DEFAULT_TIMINGS } from '../time/index.js';
import type { Timings } from '../time/index.js';
import { Election } from './Election.js';
import { Follower } from './Follower.js';
import { Leadership } from './Leadership.js';
import type {
  AppendRequest,
  AppendResponse,
  SnapshotRequest,
  SnapshotResponse,
  VoteRequest,
  VoteResponse,
} from './messages.js';
import type { PeerNetwork } from './Peer.js';
import type { ReplicaEvent, Role } from './ReplicaEvent.js';
import { ReplicaState } from './ReplicaState.js';
import type { StateMachine } from './StateMachine.js';

/** What a replica is made of. */
export interface ReplicaOptions {
  /** Identity stored beside the data; see `getOrCreateIdentity`. */
  id: string;
  name: string;
  /** Address at which the other replicas reach this one. */
  address: string;
  storage: Storage;
  machine: StateMachine;
  network: PeerNetwork;
  timings?: Partial<Timings>;
  /** Number of applied entries after which a snapshot is taken. */
  snapshotEvery?: number;
  /** Bytes of the stored log beyond which a snapshot is taken earlier. */
  snapshotBytes?: number;
  /** Voters beyond which newcomers stay learners until a voter falls silent; unlimited if absent. */
  targetVoters?: number;
  /**
   * False when the host never asks for `hasLease`: after a restart the replica then votes at once
   * instead of waiting until a lease that it may have helped to grant is over.
   */
  usesLeases?: boolean;
  /** Monotonic clock in milliseconds; must go on while the process is frozen. */
  now?: () => number;
  random?: () => number;
  onEvent?: (event: ReplicaEvent) => void;
}

/** A member as the leader sees it. */
export interface MemberProgress extends Member {
  matchIndex: number;
}

const SNAPSHOT_EVERY = 2000;
const SNAPSHOT_BYTES = 64 * 1024 * 1024;

/** One replica of a replicated log. */
export class Replica {
  private readonly state: ReplicaState;

  private readonly follower: Follower;

  private leadership: Leadership | undefined;

  constructor(private readonly options: ReplicaOptions) {
    this.state = new ReplicaState({
      id: options.id,
      storage: options.storage,
      machine: options.machine,
      timings: { ...DEFAULT_TIMINGS, ...options.timings },
      snapshotEvery: options.snapshotEvery ?? SNAPSHOT_EVERY,
      snapshotBytes: options.snapshotBytes ?? SNAPSHOT_BYTES,
      targetVoters: options.targetVoters ?? Infinity,
      usesLeases: options.usesLeases ?? true,
      now: options.now ?? (() => performance.now()),
      random: options.random ?? Math.random,
      onEvent: options.onEvent ?? (() => {}),
    });
    this.follower = new Follower(this.state);
    this.state.onApplied = (entry, result) =>
      this.leadership?.proposals.settle(entry.index, result);
  }

  /**
   * Loads the stored state and starts the tasks.
   * @throws CorruptStorage when the stored state is damaged.
   */
  async start(): Promise<void> {
    await this.state.load();
    const election = new Election({
      state: this.state,
      network: this.options.network,
      onElected: () => this.lead(),
    });
    election.run().catch(() => undefined);
  }

  /** Stops all tasks and closes the storage. */
  async stop(): Promise<void> {
    this.state.isStopped = true;
    this.state.changed.notify();
    await this.state.mutex.run(() => this.options.storage.close());
  }

  /** Starts a new cluster of this replica alone. Does nothing when the replica has joined one. */
  async bootstrap(): Promise<void> {
    await this.state.mutex.run(async () => {
      if (this.isInitialised) return;
      const { id, name, address } = this.options;
      const payload = encodeMembers([{ id, name, address, voter: true }]);
      await this.state.saveBallot({ term: 1, votedFor: undefined });
      await this.state.append([{ index: 1, term: 1, kind: 'members', payload }]);
    });
  }

  get id(): string {
    return this.options.id;
  }

  get role(): Role {
    return this.state.role;
  }

  get term(): number {
    return this.state.term;
  }

  get commitIndex(): number {
    return this.state.commitIndex;
  }

  get appliedIndex(): number {
    return this.state.appliedIndex;
  }

  get logBytes(): number {
    return this.options.storage.getLogBytes();
  }

  /** True once the replica holds a member list. */
  get isInitialised(): boolean {
    return this.state.members.current.length > 0;
  }

  /** Gets the members with the progress that the leader knows of. */
  getMembers(): MemberProgress[] {
    return this.state.members.current.map((member) => ({
      ...member,
      matchIndex: this.leadership?.getMatchIndex(member.id) ?? 0,
    }));
  }

  /** Gets the address of the leader, as far as this replica knows one. */
  getLeaderAddress(): string | undefined {
    const leader = this.state.role === 'leader' ? this.options.id : this.state.leaderId;
    return this.state.members.current.find((member) => member.id === leader)?.address;
  }

  /**
   * True while the state is recent: it holds what was committed when a leader was last heard, not
   * longer ago than the given time. What a replica has loaded at its start may be old.
   */
  isRecent(maxSilenceMs: number): boolean {
    if (this.state.role === 'leader') return this.leadership?.isOpened ?? false;
    return this.state.isCaughtUp && this.leaderSilenceMs <= maxSilenceMs;
  }

  /** Milliseconds since a leader was last heard; 0 on the leader. */
  get leaderSilenceMs(): number {
    return this.state.role === 'leader' ? 0 : this.state.options.now() - this.state.heardAt;
  }

  /** True while this replica leads and no other can have been elected. */
  hasLease(): boolean {
    return this.leadership?.hasLease() ?? false;
  }

  /**
   * Appends a command and gets the result of its application once a quorum holds it.
   * @throws NotLeader when nothing was proposed.
   * @throws OutcomeUnknown when leadership was lost before the commit.
   */
  async propose(command: Uint8Array): Promise<unknown> {
    return this.getLeadershipOrThrow().propose('command', command);
  }

  /**
   * Confirms that this replica's state holds every command acknowledged before the call. It relies
   * on a round of messages to a quorum and on no clock.
   * @returns False when that cannot be confirmed in time, or this replica does not lead.
   */
  async confirmRead(timeoutMs: number): Promise<boolean> {
    return (await this.leadership?.confirmQuorum(timeoutMs)) ?? false;
  }

  /**
   * Lets a new replica catch up; it then becomes a voter in place of an older one of its name.
   * @throws NotLeader when this replica does not lead.
   */
  addMember(member: Omit<Member, 'voter'>): void {
    this.getLeadershipOrThrow().addJoining({ ...member, voter: false });
  }

  /**
   * Removes a member.
   * @throws NotLeader when this replica does not lead, or is the one to be removed.
   */
  async removeMember(id: string): Promise<void> {
    const leadership = this.getLeadershipOrThrow();
    if (id === this.options.id) throw new NotLeader(undefined);
    while (leadership.isCurrent() && !leadership.canChangeMembers()) {
      await this.waitForChange(this.state.options.timings.heartbeatMs);
    }
    const rest = this.state.members.current.filter((member) => member.id !== id);
    await leadership.changeMembers(rest);
  }

  /** Waits until the commit position or the role changes, at most the given time. */
  async waitForChange(timeoutMs: number): Promise<void> {
    await this.state.changed.wait(timeoutMs);
  }

  /** Answers a candidate. */
  async vote(request: VoteRequest): Promise<VoteResponse> {
    this.checkRecipient(request.to);
    return this.state.mutex.run(() => this.follower.vote(request));
  }

  /** Answers a leader. */
  async append(request: AppendRequest): Promise<AppendResponse> {
    this.checkRecipient(request.to);
    return this.state.mutex.run(() => this.follower.append(request));
  }

  /** Takes a leader's snapshot. */
  async installSnapshot(request: SnapshotRequest): Promise<SnapshotResponse> {
    this.checkRecipient(request.to);
    return this.state.mutex.run(() => this.follower.installSnapshot(request));
  }

  private checkRecipient(to: string): void {
    if (this.state.isStopped) throw new FatalFault('the replica has stopped');
    if (to !== this.options.id) throw new FatalFault(`message for ${to}, but this is another one`);
  }

  private getLeadershipOrThrow(): Leadership {
    if (this.leadership?.isCurrent()) return this.leadership;
    throw new NotLeader(this.getLeaderAddress());
  }

  private lead(): void {
    this.state.leaderId = this.options.id;
    this.state.setRole('leader');
    this.leadership = new Leadership({ state: this.state, network: this.options.network });
    this.leadership.start();
  }
}
