import type { LogEntry } from '../log/index.js';
import type {
  AppendRequest,
  AppendResponse,
  SnapshotRequest,
  SnapshotResponse,
  VoteRequest,
  VoteResponse,
} from './messages.js';
import type { ReplicaState } from './ReplicaState.js';

/**
 * Answers the messages of candidates and leaders.
 * @internal
 */
export class Follower {
  constructor(private readonly state: ReplicaState) {}

  /** Gives or refuses a vote. */
  async vote(request: VoteRequest): Promise<VoteResponse> {
    const { state } = this;
    if (this.isLeaderTrusted()) return { term: state.term, granted: false };
    if (!this.isUpToDate(request)) {
      if (!request.preVote) await state.adoptTerm(request.term);
      return { term: state.term, granted: false };
    }
    if (request.preVote) return { term: state.term, granted: request.term > state.term };
    return this.castVote(request);
  }

  /** Takes entries from the leader of a term not older than this replica's. */
  async append(request: AppendRequest): Promise<AppendResponse> {
    const { state } = this;
    if (request.term < state.term) return this.refuse(0);
    await this.followLeader(request.term, request.leader);
    const first = state.log.compactedIndex;
    const isCovered = request.previousIndex < first;
    if (!isCovered && state.log.getTerm(request.previousIndex) !== request.previousTerm) {
      const hint = Math.min(state.log.lastIndex, request.previousIndex - 1);
      return this.refuse(Math.max(hint, state.commitIndex));
    }
    await this.takeEntries(request.entries.filter((entry) => entry.index > first));
    const lastIndex = request.previousIndex + request.entries.length;
    state.commitTo(Math.min(request.commitIndex, lastIndex));
    state.noteCaughtUp(request.commitIndex, request.term);
    return { term: state.term, success: true, matchIndex: lastIndex };
  }

  /** Replaces this replica's state by the leader's. */
  async installSnapshot(request: SnapshotRequest): Promise<SnapshotResponse> {
    const { state } = this;
    if (request.term < state.term) return { term: state.term };
    await this.followLeader(request.term, request.leader);
    await state.installSnapshot({
      index: request.index,
      term: request.indexTerm,
      members: request.members,
      state: request.state,
    });
    return { term: state.term };
  }

  private isLeaderTrusted(): boolean {
    const { state } = this;
    if (state.role === 'leader') return true;
    return state.options.now() < state.trustedUntil;
  }

  private isUpToDate(request: VoteRequest): boolean {
    const { log } = this.state;
    if (request.lastTerm !== log.lastTerm) return request.lastTerm > log.lastTerm;
    return request.lastIndex >= log.lastIndex;
  }

  private async castVote(request: VoteRequest): Promise<VoteResponse> {
    const { state } = this;
    await state.adoptTerm(request.term);
    const isFree = state.votedFor === undefined || state.votedFor === request.candidate;
    const granted = request.term === state.term && isFree;
    if (granted) {
      await state.saveBallot({ term: state.term, votedFor: request.candidate });
      state.resetElectionTimer();
    }
    return { term: state.term, granted };
  }

  private async followLeader(term: number, leader: string): Promise<void> {
    const { state } = this;
    await state.adoptTerm(term);
    if (state.role === 'leader') state.fail(`two leaders in term ${term}`);
    state.setRole('follower');
    state.leaderId = leader;
    state.trustLeader();
  }

  private async takeEntries(entries: LogEntry[]): Promise<void> {
    const { log } = this.state;
    const start = entries.findIndex((entry) => log.getTerm(entry.index) !== entry.term);
    if (start === -1) return;
    const fresh = entries.slice(start);
    const index = fresh[0]?.index ?? 0;
    if (index <= log.lastIndex) await this.state.overwrite(index, fresh);
    else await this.state.append(fresh);
  }

  private refuse(matchIndex: number): AppendResponse {
    return { term: this.state.term, success: false, matchIndex };
  }
}
