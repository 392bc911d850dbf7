import { setTimeout as sleep } from 'node:timers/promises';
import { encodeMembers } from '../log/index.js';
import type { Member } from '../log/index.js';
import { Signal } from '../time/index.js';
import type { PeerNetwork } from './Peer.js';
import { Proposals } from './Proposals.js';
import type { ReplicaState } from './ReplicaState.js';
import { Replicator } from './Replicator.js';

const BATCH_LIMIT = 512;
const TICK_MS = 20;

/** What a leader's tasks need. */
export interface LeadershipOptions {
  state: ReplicaState;
  network: PeerNetwork;
}

/**
 * The tasks of one leader in one term: appending, replicating, committing, changing members.
 * @internal
 */
export class Leadership {
  readonly proposals = new Proposals();

  private readonly term: number;

  private readonly firstIndex: number;

  private readonly startedAt: number;

  private readonly replicators = new Map<string, Replicator>();

  private readonly work = new Signal();

  private readonly progressed = new Signal();

  private readonly joining = new Map<string, Member>();

  constructor(private readonly options: LeadershipOptions) {
    this.term = options.state.term;
    this.firstIndex = options.state.log.lastIndex + 1;
    this.startedAt = options.state.options.now();
  }

  /** Starts the tasks and proposes the empty entry that opens the term. */
  start(): void {
    this.propose('noop', new Uint8Array()).catch(() => undefined);
    this.startReplicators();
    this.runAppends().catch(() => undefined);
    this.runUpkeep().catch(() => undefined);
  }

  /** True while the replica still leads in the term of this object. */
  isCurrent(): boolean {
    const { state } = this.options;
    return !state.isStopped && state.role === 'leader' && state.term === this.term;
  }

  /** True while no other replica can have been elected, by the monotonic clock. */
  hasLease(): boolean {
    const { state } = this.options;
    const { electionTimeoutMs, leaseShare } = state.options.timings;
    if (!this.isCurrent() || state.appliedIndex < this.firstIndex) return false;
    return state.options.now() - this.getQuorumContact() < electionTimeoutMs * leaseShare;
  }

  /** True once an entry of this term is applied, and with it all that was committed before. */
  get isOpened(): boolean {
    return this.isCurrent() && this.options.state.appliedIndex >= this.firstIndex;
  }

  /**
   * Confirms by messages sent after the call that no other leader has been elected before it.
   * @returns False when the leadership ends or the quorum does not answer in time.
   */
  async confirmQuorum(timeoutMs: number): Promise<boolean> {
    const { state } = this.options;
    const since = state.options.now();
    this.replicators.forEach((replicator) => replicator.notify());
    while (this.isCurrent() && state.options.now() - since <= timeoutMs) {
      if (state.appliedIndex >= this.firstIndex && this.getQuorumContact() >= since) return true;
      await this.progressed.wait(state.options.timings.heartbeatMs);
    }
    return false;
  }

  /** Appends an entry and gets the result of its application. */
  propose(kind: 'command' | 'noop' | 'members', payload: Uint8Array): Promise<unknown> {
    const result = this.proposals.add(kind, payload);
    this.work.notify();
    return result;
  }

  /** Lets a replica catch up and become a voter. */
  addJoining(member: Member): void {
    if (this.options.state.members.hasMember(member.id)) return;
    this.joining.set(member.id, member);
  }

  /** Gets how far a member's log agrees with this one. */
  getMatchIndex(id: string): number {
    if (id === this.options.state.options.id) return this.options.state.log.lastIndex;
    return this.replicators.get(id)?.matchIndex ?? 0;
  }

  /** Proposes a member list. At most one change is open at a time. */
  async changeMembers(members: Member[]): Promise<void> {
    await this.propose('members', encodeMembers(members));
  }

  /** True when a new member list may be proposed. */
  canChangeMembers(): boolean {
    const { state } = this.options;
    const isOpened = state.commitIndex >= this.firstIndex;
    return isOpened && state.members.currentIndex <= state.commitIndex && !this.proposals.hasQueued;
  }

  private async runAppends(): Promise<void> {
    const { state } = this.options;
    while (this.isCurrent()) {
      if (!this.proposals.hasQueued) await this.work.wait(state.options.timings.heartbeatMs);
      else await state.mutex.run(() => this.appendQueued());
    }
  }

  private async appendQueued(): Promise<void> {
    const { state } = this.options;
    if (!this.isCurrent()) return;
    const entries = this.proposals.takeEntries(state.log.lastIndex, this.term, BATCH_LIMIT);
    await state.append(entries);
    this.startReplicators();
    this.replicators.forEach((replicator) => replicator.notify());
    this.advanceCommit();
  }

  private async runUpkeep(): Promise<void> {
    const { state } = this.options;
    while (this.isCurrent()) {
      await sleep(TICK_MS);
      const contactAt = Math.max(this.getQuorumContact(), this.startedAt);
      const silence = state.options.now() - contactAt;
      if (silence > state.options.timings.electionTimeoutMs) this.stepDown();
      else this.changeMembersWhenDue();
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
    this.progressed.notify();
    if (!this.isCurrent()) return;
    const matches = state.members.voters.map((member) => this.getMatchIndex(member.id));
    const index = getMajorityValue(matches);
    if (index > state.commitIndex && state.log.getTerm(index) === this.term) {
      state.commitTo(index);
      this.replicators.forEach((replicator) => replicator.notify());
    }
  }

  private getQuorumContact(): number {
    const { state } = this.options;
    const contacts = state.members.voters.map((member) =>
      member.id === state.options.id
        ? state.options.now()
        : (this.replicators.get(member.id)?.contactAt ?? -Infinity),
    );
    return getMajorityValue(contacts);
  }

  private changeMembersWhenDue(): void {
    if (!this.canChangeMembers()) return;
    const next = this.getNextMembers();
    if (next) this.changeMembers(next).catch(() => undefined);
  }

  private getNextMembers(): Member[] | undefined {
    const { members } = this.options.state;
    const [joiner] = this.joining.values();
    if (joiner) {
      this.joining.delete(joiner.id);
      if (!members.hasMember(joiner.id)) return [...members.current, joiner];
    }
    const learner = members.current.find((member) => !member.voter && this.isCaughtUp(member));
    return learner ? this.getPromotion(learner) : this.getWithoutDepartedLearner();
  }

  private getWithoutDepartedLearner(): Member[] | undefined {
    const { members, timings } = this.getMembership();
    const departed = members.current.find(
      (member) => !member.voter && this.getSilence(member) > timings.memberSilenceMs,
    );
    return departed && members.current.filter((member) => member.id !== departed.id);
  }

  private getMembership() {
    const { members, options } = this.options.state;
    return { members, timings: options.timings };
  }

  /** Milliseconds since a member last answered, or since the replication to it began. */
  private getSilence(member: Member): number {
    const { state } = this.options;
    if (member.id === state.options.id) return 0;
    const replicator = this.replicators.get(member.id);
    if (!replicator) return 0;
    return state.options.now() - Math.max(replicator.contactAt, replicator.startedAt);
  }

  private getPromotion(learner: Member): Member[] | undefined {
    const { members, options } = this.options.state;
    const replaced = members.current.find(
      (member) => member.name === learner.name && member.id !== learner.id,
    );
    if (replaced && replaced.id !== options.id) {
      return members.current.filter((member) => member.id !== replaced.id);
    }
    if (members.voters.length >= options.targetVoters) return this.getWithoutSilentVoter();
    return members.current.map((member) =>
      member.id === learner.id ? { ...member, voter: true } : member,
    );
  }

  /** A silent voter gives its place to a learner that has caught up. */
  private getWithoutSilentVoter(): Member[] | undefined {
    const { members, timings } = this.getMembership();
    const silent = members.voters
      .filter((member) => this.getSilence(member) > timings.memberSilenceMs)
      .sort((a, b) => this.getSilence(b) - this.getSilence(a))[0];
    return silent && members.current.filter((member) => member.id !== silent.id);
  }

  private isCaughtUp(member: Member): boolean {
    const { state } = this.options;
    const replicator = this.replicators.get(member.id);
    return replicator !== undefined && replicator.matchIndex >= state.commitIndex;
  }
}

function getMajorityValue(values: number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(values.length / 2)] ?? -Infinity;
}
