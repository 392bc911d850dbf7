import { FatalError, NotLeaderError } from '../errors/index.js';
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

/** Options for {@link Replica}. */
export interface ReplicaOptions {
  /** Identifier stored with the data; see `getOrCreateIdentity`. */
  id: string;
  name: string;
  /** Address at which other replicas reach this one. */
  address: string;
  storage: Storage;
  stateMachine: StateMachine;
  network: PeerNetwork;
  timings?: Partial<Timings>;
  /** Number of applied entries between snapshots. */
  snapshotEvery?: number;
  /** Size of the stored log in bytes above which a snapshot is taken earlier. */
  snapshotBytes?: number;
  /**
   * Target number of voters; unlimited by default. Once it is reached, further members stay
   * learners until a voter becomes unresponsive.
   */
  targetVoters?: number;
  /**
   * Set to false if the application never calls `hasLease`. The replica then votes immediately
   * after a restart, instead of waiting for a lease to expire that it may have granted before.
   */
  usesLeases?: boolean;
  /** Monotonic clock in milliseconds; must keep advancing while the process is suspended. */
  now?: () => number;
  random?: () => number;
  onEvent?: (event: ReplicaEvent) => void;
}

/** A member and its replication progress. */
export interface MemberProgress extends Member {
  matchIndex: number;
}

/** Default number of applied entries between snapshots. */
const DEFAULT_SNAPSHOT_EVERY = 2000;
/** Default size of the stored log in bytes above which a snapshot is taken earlier. */
const DEFAULT_SNAPSHOT_BYTES = 64 * 1024 * 1024;

/** One replica of a replicated log. */
export class Replica {
  private readonly state: ReplicaState;

  private readonly follower: Follower;

  private leadership: Leadership | undefined;

  constructor(private readonly options: ReplicaOptions) {
    this.state = new ReplicaState({
      id: options.id,
      storage: options.storage,
      stateMachine: options.stateMachine,
      timings: { ...DEFAULT_TIMINGS, ...options.timings },
      snapshotEvery: options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY,
      snapshotBytes: options.snapshotBytes ?? DEFAULT_SNAPSHOT_BYTES,
      targetVoters: options.targetVoters ?? Infinity,
      usesLeases: options.usesLeases ?? true,
      now: options.now ?? (() => performance.now()),
      random: options.random ?? Math.random,
      onEvent: options.onEvent ?? (() => {}),
    });
    this.follower = new Follower(this.state);
    this.state.onApplied = (entry, result) => this.leadership?.proposals.settle(entry, result);
  }

  /**
   * Loads the stored state and starts the election task.
   * @throws CorruptStorageError if the stored state is damaged.
   * @throws StorageError if a torn tail of the log cannot be removed.
   */
  async start(): Promise<void> {
    await this.state.load();
    const election = new Election({
      state: this.state,
      network: this.options.network,
      onElected: () => this.becomeLeader(),
    });
    election.run().catch(() => undefined);
  }

  /** Stops all tasks and closes the storage. */
  async stop(): Promise<void> {
    this.state.isStopped = true;
    this.state.changed.notify();
    await this.state.mutex.run(() => this.options.storage.close());
  }

  /** Creates a cluster with this replica as its only member, unless it already belongs to one. */
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

  /** True once the replica has a member list, that is, belongs or has belonged to a cluster. */
  get isInitialised(): boolean {
    return this.state.members.current.length > 0;
  }

  /** Gets the members with their replication progress; the progress is only known on the leader. */
  getMembers(): MemberProgress[] {
    return this.state.members.current.map((member) => ({
      ...member,
      matchIndex: this.leadership?.getMatchIndex(member.id) ?? 0,
    }));
  }

  /** Gets the address of the last known leader; undefined if there is none. */
  getLeaderAddress(): string | undefined {
    const leader = this.state.role === 'leader' ? this.options.id : this.state.leaderId;
    return this.state.members.current.find((member) => member.id === leader)?.address;
  }

  /**
   * Gets whether the applied state is recent. On a follower, a leader must have been in contact at
   * most `maxContactAgeMs` ago. State loaded at startup may be old, so the follower must also have
   * caught up once since the start; one that falls behind later still counts as recent. On the
   * leader, the no-op entry of its term must be applied.
   */
  isRecent(maxContactAgeMs: number): boolean {
    if (this.state.role === 'leader') return this.leadership?.hasAppliedNoop ?? false;
    return this.state.isCaughtUp && this.msSinceLeaderContact <= maxContactAgeMs;
  }

  /** Milliseconds since the last leader contact or the start of the replica; 0 on the leader. */
  get msSinceLeaderContact(): number {
    return this.state.role === 'leader' ? 0 : this.state.options.now() - this.state.leaderContactAt;
  }

  /** Gets whether this replica is the leader and no other can have been elected. */
  hasLease(): boolean {
    return this.leadership?.hasLease() ?? false;
  }

  /**
   * Appends a command to the log and resolves with the result of applying it, once committed.
   * @throws NotLeaderError if this replica is not the leader; nothing was proposed.
   * @throws OutcomeUnknownError if leadership was lost, the replica was stopped or its storage
   * failed before the command was committed.
   */
  async propose(command: Uint8Array): Promise<unknown> {
    return this.getLeadershipOrThrow().propose('command', command);
  }

  /**
   * Confirms that this replica's state includes every command acknowledged before the call. Uses a
   * round of messages to a quorum instead of the clock-based lease.
   * @returns False if this cannot be confirmed in time, or this replica is not the leader.
   */
  async confirmRead(timeoutMs: number): Promise<boolean> {
    return (await this.leadership?.confirmQuorum(timeoutMs)) ?? false;
  }

  /**
   * Adds a replica as a learner. Once caught up it replaces an older member of the same name, and
   * becomes a voter if `targetVoters` allows it.
   * @throws NotLeaderError if this replica is not the leader.
   */
  addMember(member: Omit<Member, 'voter'>): void {
    this.getLeadershipOrThrow().addLearner({ ...member, voter: false });
  }

  /**
   * Removes a member.
   * @throws NotLeaderError if this replica is not the leader, or is itself the member to be
   * removed; in the latter case the error names no leader.
   * @throws OutcomeUnknownError if leadership was lost, the replica was stopped or its storage
   * failed before the change was committed.
   */
  async removeMember(id: string): Promise<void> {
    const leadership = this.getLeadershipOrThrow();
    if (id === this.options.id) throw new NotLeaderError(undefined);
    while (leadership.isCurrent() && !leadership.canChangeMembers()) {
      await this.waitForChange(this.state.options.timings.heartbeatMs);
    }
    const remaining = this.state.members.current.filter((member) => member.id !== id);
    await leadership.changeMembers(remaining);
  }

  /** Waits for a change, for example of the commit index or role, or until the timeout elapses. */
  async waitForChange(timeoutMs: number): Promise<void> {
    await this.state.changed.wait(timeoutMs);
  }

  /** Handles a vote request from a candidate. */
  async vote(request: VoteRequest): Promise<VoteResponse> {
    this.checkRecipient(request.to);
    return this.state.mutex.run(() => this.follower.vote(request));
  }

  /** Handles an append request from a leader. */
  async append(request: AppendRequest): Promise<AppendResponse> {
    this.checkRecipient(request.to);
    return this.state.mutex.run(() => this.follower.append(request));
  }

  /** Handles a snapshot sent by a leader. */
  async installSnapshot(request: SnapshotRequest): Promise<SnapshotResponse> {
    this.checkRecipient(request.to);
    return this.state.mutex.run(() => this.follower.installSnapshot(request));
  }

  private checkRecipient(to: string): void {
    if (this.state.isStopped) throw new FatalError('the replica has stopped');
    if (to !== this.options.id) throw new FatalError(`message for ${to}, but this is another one`);
  }

  private getLeadershipOrThrow(): Leadership {
    if (this.leadership?.isCurrent()) return this.leadership;
    throw new NotLeaderError(this.getLeaderAddress());
  }

  private becomeLeader(): void {
    this.state.leaderId = this.options.id;
    this.state.setRole('leader');
    this.leadership = new Leadership({ state: this.state, network: this.options.network });
    this.leadership.start();
  }
}
