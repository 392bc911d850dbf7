import { setTimeout as sleep } from 'node:timers/promises';
import { encodeMembers } from '../log/index.js';
import type { Member } from '../log/index.js';
import { Signal } from '../time/index.js';
import type { PeerNetwork } from './Peer.js';
import { Proposals } from './Proposals.js';
import type { ReplicaState } from './ReplicaState.js';
import { Replicator } from './Replicator.js';

/** Maximum number of queued proposals that are written to the log at a time. */
const MAX_ENTRIES_PER_APPEND = 512;
const TICK_MS = 20;

/** Options for {@link Leadership}. */
export interface LeadershipOptions {
  state: ReplicaState;
  network: PeerNetwork;
}

/**
 * Runs the tasks of a leader for one term: append, replication, commit and membership changes.
 * @internal
 */
export class Leadership {
  readonly proposals = new Proposals();

  private readonly term: number;

  private readonly noopIndex: number;

  private readonly startedAt: number;

  private readonly replicators = new Map<string, Replicator>();

  private readonly queued = new Signal();

  private readonly progressChanged = new Signal();

  private readonly pendingLearners = new Map<string, Member>();

  constructor(private readonly options: LeadershipOptions) {
    this.term = options.state.term;
    this.noopIndex = options.state.log.lastIndex + 1;
    this.startedAt = options.state.options.now();
  }

  /** Starts the tasks and proposes the no-op entry that starts the term. */
  start(): void {
    this.propose('noop', new Uint8Array()).catch(() => undefined);
    this.startReplicators();
    this.runAppends().catch(() => undefined);
    this.runMaintenance().catch(() => undefined);
  }

  /** Gets whether the replica is still the leader of the term of this object. */
  isCurrent(): boolean {
    const { state } = this.options;
    return !state.isStopped && state.role === 'leader' && state.term === this.term;
  }

  /**
   * Gets whether this replica holds a valid leader lease: it has applied the no-op entry of
   * its term, and by the monotonic clock no other replica can have been elected.
   */
  hasLease(): boolean {
    const { state } = this.options;
    const { electionTimeoutMs, leaseShare } = state.options.timings;
    if (!this.isCurrent() || state.appliedIndex < this.noopIndex) return false;
    return state.options.now() - this.getQuorumContactAt() < electionTimeoutMs * leaseShare;
  }

  /** True once the no-op entry of this term, and hence every entry before it, is applied. */
  get hasAppliedNoop(): boolean {
    return this.isCurrent() && this.options.state.appliedIndex >= this.noopIndex;
  }

  /**
   * Confirms, by a round of messages sent after the call, that no other leader was elected before
   * the call.
   * @returns False if leadership ends or a quorum does not respond in time.
   */
  async confirmQuorum(timeoutMs: number): Promise<boolean> {
    const { state } = this.options;
    const since = state.options.now();
    this.replicators.forEach((replicator) => replicator.notify());
    while (this.isCurrent() && state.options.now() - since <= timeoutMs) {
      if (state.appliedIndex >= this.noopIndex && this.getQuorumContactAt() >= since) return true;
      await this.progressChanged.wait(state.options.timings.heartbeatMs);
    }
    return false;
  }

  /** Queues an entry and resolves with the result of applying it. */
  propose(kind: 'command' | 'noop' | 'members', payload: Uint8Array): Promise<unknown> {
    const result = this.proposals.add(kind, payload);
    this.queued.notify();
    return result;
  }

  /**
   * Adds a learner, which becomes a voter once it has caught up and `targetVoters` allows it.
   * Ignored for existing members.
   */
  addLearner(member: Member): void {
    if (this.options.state.members.hasMember(member.id)) return;
    this.pendingLearners.set(member.id, member);
  }

  /** Gets the last index up to which a member's log is known to match this one; 0 if unknown. */
  getMatchIndex(id: string): number {
    if (id === this.options.state.options.id) return this.options.state.log.lastIndex;
    return this.replicators.get(id)?.matchIndex ?? 0;
  }

  /** Proposes a member list. At most one membership change may be in progress at a time. */
  async changeMembers(members: Member[]): Promise<void> {
    await this.propose('members', encodeMembers(members));
  }

  /**
   * Gets whether a new member list may be proposed. One that is queued or being written prevents it
   * like one that is not committed, because the new list would not be derived from it.
   */
  canChangeMembers(): boolean {
    const { state } = this.options;
    const isReady = state.commitIndex >= this.noopIndex;
    const isCommitted = state.members.currentIndex <= state.commitIndex;
    return isReady && isCommitted && !this.proposals.hasMemberList;
  }

  private async runAppends(): Promise<void> {
    const { state } = this.options;
    while (this.isCurrent()) {
      if (!this.proposals.hasQueued) await this.queued.wait(state.options.timings.heartbeatMs);
      else await state.mutex.run(() => this.appendQueued());
    }
  }

  private async appendQueued(): Promise<void> {
    const { state } = this.options;
    if (!this.isCurrent()) return;
    const entries = this.proposals.takeEntries(
      state.log.lastIndex,
      this.term,
      MAX_ENTRIES_PER_APPEND,
    );
    await state.append(entries);
    this.startReplicators();
    this.replicators.forEach((replicator) => replicator.notify());
    this.advanceCommit();
  }

  private async runMaintenance(): Promise<void> {
    const { state } = this.options;
    while (this.isCurrent()) {
      await sleep(TICK_MS);
      const contactAt = Math.max(this.getQuorumContactAt(), this.startedAt);
      const msSinceContact = state.options.now() - contactAt;
      if (msSinceContact > state.options.timings.electionTimeoutMs) this.stepDown();
      else this.changeMembersIfNeeded();
    }
    this.stop();
  }

  private stepDown(): void {
    const { state } = this.options;
    state.leaderId = undefined;
    state.resetElectionTimer();
    state.setRole('follower');
  }

  private stop(): void {
    const { state } = this.options;
    this.replicators.forEach((replicator) => replicator.stop());
    const leader = state.members.current.find((member) => member.id === state.leaderId);
    this.proposals.fail(leader?.address);
  }

  private startReplicators(): void {
    const { state, network } = this.options;
    for (const member of state.members.current) {
      const isOther = member.id !== state.options.id;
      if (isOther && !this.replicators.has(member.id)) this.startReplicator(member, network);
    }
    for (const [id, replicator] of this.replicators) {
      if (!state.members.hasMember(id)) {
        replicator.stop();
        this.replicators.delete(id);
      }
    }
  }

  private startReplicator(member: Member, network: PeerNetwork): void {
    const replicator = new Replicator({
      state: this.options.state,
      member,
      peer: network.openPeer(member.address),
      term: this.term,
      isCurrent: () => this.isCurrent(),
      onProgress: () => this.advanceCommit(),
    });
    this.replicators.set(member.id, replicator);
    replicator.run().catch(() => undefined);
  }

  private advanceCommit(): void {
    const { state } = this.options;
    this.progressChanged.notify();
    if (!this.isCurrent()) return;
    const matches = state.members.voters.map((member) => this.getMatchIndex(member.id));
    const index = getQuorumValue(matches);
    if (index > state.commitIndex && state.log.getTerm(index) === this.term) {
      state.commitTo(index);
      this.replicators.forEach((replicator) => replicator.notify());
    }
  }

  /**
   * Gets the latest time such that each replica of a quorum has responded to a request sent at or
   * after it. This replica counts with the current time.
   */
  private getQuorumContactAt(): number {
    const { state } = this.options;
    const contacts = state.members.voters.map((member) =>
      member.id === state.options.id
        ? state.options.now()
        : (this.replicators.get(member.id)?.lastContactAt ?? -Infinity),
    );
    return getQuorumValue(contacts);
  }

  private changeMembersIfNeeded(): void {
    if (!this.canChangeMembers()) return;
    const next = this.getNextMembers();
    if (next) this.changeMembers(next).catch(() => undefined);
  }

  private getNextMembers(): Member[] | undefined {
    const { members } = this.options.state;
    const [pending] = this.pendingLearners.values();
    if (pending) {
      this.pendingLearners.delete(pending.id);
      if (!members.hasMember(pending.id)) return [...members.current, pending];
    }
    const learner = members.current.find((member) => !member.voter && this.isCaughtUp(member));
    return learner
      ? this.getMembersForPromotion(learner)
      : this.getMembersWithoutUnresponsiveLearner();
  }

  private getMembersWithoutUnresponsiveLearner(): Member[] | undefined {
    const { members, timings } = this.getMembersAndTimings();
    const unresponsive = members.current.find(
      (member) => !member.voter && this.getMsSinceContact(member) > timings.memberTimeoutMs,
    );
    return unresponsive && members.current.filter((member) => member.id !== unresponsive.id);
  }

  private getMembersAndTimings() {
    const { members, options } = this.options.state;
    return { members, timings: options.timings };
  }

  /** Gets the milliseconds since a member last responded, or since replication to it started. */
  private getMsSinceContact(member: Member): number {
    const { state } = this.options;
    if (member.id === state.options.id) return 0;
    const replicator = this.replicators.get(member.id);
    if (!replicator) return 0;
    return state.options.now() - Math.max(replicator.lastContactAt, replicator.startedAt);
  }

  /**
   * Gets the next member list on the way to promoting a learner. Membership changes one member at a
   * time, so an older member of the same name, or an unresponsive voter, is removed first.
   */
  private getMembersForPromotion(learner: Member): Member[] | undefined {
    const { members, options } = this.options.state;
    const replaced = members.current.find(
      (member) => member.name === learner.name && member.id !== learner.id,
    );
    if (replaced && replaced.id !== options.id) {
      return members.current.filter((member) => member.id !== replaced.id);
    }
    if (members.voters.length >= options.targetVoters)
      return this.getMembersWithoutUnresponsiveVoter();
    return members.current.map((member) =>
      member.id === learner.id ? { ...member, voter: true } : member,
    );
  }

  /**
   * Gets the member list without the voter that has been unresponsive for longest, which makes room
   * for a learner that has caught up; undefined if all voters respond.
   */
  private getMembersWithoutUnresponsiveVoter(): Member[] | undefined {
    const { members, timings } = this.getMembersAndTimings();
    const unresponsive = members.voters
      .filter((member) => this.getMsSinceContact(member) > timings.memberTimeoutMs)
      .sort((a, b) => this.getMsSinceContact(b) - this.getMsSinceContact(a))[0];
    return unresponsive && members.current.filter((member) => member.id !== unresponsive.id);
  }

  private isCaughtUp(member: Member): boolean {
    const { state } = this.options;
    const replicator = this.replicators.get(member.id);
    return replicator !== undefined && replicator.matchIndex >= state.commitIndex;
  }
}

/** Gets the highest value that a majority of the values reaches. */
function getQuorumValue(values: number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(values.length / 2)] ?? -Infinity;
}
