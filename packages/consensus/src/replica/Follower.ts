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
 * Handles the requests of candidates and leaders.
 * @internal
 */
export class Follower {
  constructor(private readonly state: ReplicaState) {}

  /** Handles a vote or pre-vote request. */
  async vote(request: VoteRequest): Promise<VoteResponse> {
    const { state } = this;
    if (this.isWithholdingVotes()) return { term: state.term, granted: false };
    if (!this.isUpToDate(request)) {
      if (!request.preVote) await state.adoptTerm(request.term);
      return { term: state.term, granted: false };
    }
    if (request.preVote) return { term: state.term, granted: request.term > state.term };
    return this.castVote(request);
  }

  /** Appends the entries sent by the leader; rejects requests of an older term. */
  async append(request: AppendRequest): Promise<AppendResponse> {
    const { state } = this;
    if (request.term < state.term) return this.reject(0);
    await this.followLeader(request.term, request.leader);
    const lastCompactedIndex = state.log.compactedIndex;
    const isCompacted = request.previousIndex < lastCompactedIndex;
    if (!isCompacted && state.log.getTerm(request.previousIndex) !== request.previousTerm) {
      const retryIndex = Math.min(state.log.lastIndex, request.previousIndex - 1);
      return this.reject(Math.max(retryIndex, state.commitIndex));
    }
    await this.appendMissingEntries(
      request.entries.filter((entry) => entry.index > lastCompactedIndex),
    );
    const lastIndex = request.previousIndex + request.entries.length;
    state.commitTo(Math.min(request.commitIndex, lastIndex));
    state.updateCaughtUp(request.commitIndex, request.term);
    return { term: state.term, success: true, matchIndex: lastIndex };
  }

  /**
   * Replaces this replica's state with a snapshot. Ignores requests of an older term, and snapshots
   * that are not beyond the commit index.
   */
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

  private isWithholdingVotes(): boolean {
    const { state } = this;
    if (state.role === 'leader') return true;
    return state.options.now() < state.votesWithheldUntil;
  }

  private isUpToDate(request: VoteRequest): boolean {
    const { log } = this.state;
    if (request.lastTerm !== log.lastTerm) return request.lastTerm > log.lastTerm;
    return request.lastIndex >= log.lastIndex;
  }

  private async castVote(request: VoteRequest): Promise<VoteResponse> {
    const { state } = this;
    await state.adoptTerm(request.term);
    const isVoteAvailable = state.votedFor === undefined || state.votedFor === request.candidate;
    const granted = request.term === state.term && isVoteAvailable;
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
    state.recordLeaderContact();
  }

  private async appendMissingEntries(entries: LogEntry[]): Promise<void> {
    const { log } = this.state;
    const start = entries.findIndex((entry) => log.getTerm(entry.index) !== entry.term);
    if (start === -1) return;
    const missing = entries.slice(start);
    const index = missing[0]?.index ?? 0;
    if (index <= log.lastIndex) await this.state.overwrite(index, missing);
    else await this.state.append(missing);
  }

  private reject(matchIndex: number): AppendResponse {
    return { term: this.state.term, success: false, matchIndex };
  }
}
