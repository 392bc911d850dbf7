import { setTimeout as sleep } from 'node:timers/promises';
import type { Member } from '../log/index.js';
import type { VoteRequest } from './messages.js';
import type { PeerNetwork } from './Peer.js';
import type { ReplicaState } from './ReplicaState.js';

const TICK_MS = 20;

/** Options for {@link Election}. */
export interface ElectionOptions {
  state: ReplicaState;
  network: PeerNetwork;
  /** Called with the mutex held when this replica has won an election. */
  onElected: () => void;
}

/**
 * Starts an election when no leader has been in contact for the election timeout.
 * @internal
 */
export class Election {
  constructor(private readonly options: ElectionOptions) {}

  /** Runs until the replica stops. */
  async run(): Promise<void> {
    const { state } = this.options;
    while (!state.isStopped) {
      await sleep(TICK_MS);
      if (this.isElectionDue()) await this.campaign().catch(() => undefined);
    }
  }

  private isElectionDue(): boolean {
    const { state } = this.options;
    if (state.isStopped || state.role === 'leader') return false;
    return state.members.isVoter(state.options.id) && state.options.now() >= state.electionDueAt;
  }

  private async campaign(): Promise<void> {
    const { state } = this.options;
    state.scheduleCampaign();
    if (!(await this.collectVotes(state.term + 1, true))) return;
    const term = await state.mutex.run(() => this.voteForSelf());
    if (term === undefined) return;
    if (!(await this.collectVotes(term, false))) return;
    await state.mutex.run(async () => {
      if (state.term === term && state.role === 'candidate') this.options.onElected();
    });
  }

  private async voteForSelf(): Promise<number | undefined> {
    const { state } = this.options;
    if (!this.mayBecomeCandidate()) return undefined;
    await state.saveBallot({ term: state.term + 1, votedFor: state.options.id });
    state.leaderId = undefined;
    state.setRole('candidate');
    return state.term;
  }

  private mayBecomeCandidate(): boolean {
    const { state } = this.options;
    return state.role !== 'leader' && state.options.now() >= state.votesWithheldUntil;
  }

  private async collectVotes(term: number, preVote: boolean): Promise<boolean> {
    const { voters } = this.options.state.members;
    const needed = Math.floor(voters.length / 2) + 1;
    const others = voters.filter((member) => member.id !== this.options.state.options.id);
    return new Promise((resolve) => {
      let granted = 1;
      if (granted >= needed) resolve(true);
      const requests = others.map(async (member) => {
        if (await this.requestVote(member, term, preVote)) granted += 1;
        if (granted >= needed) resolve(true);
      });
      Promise.allSettled(requests).then(() => resolve(granted >= needed));
    });
  }

  private async requestVote(member: Member, term: number, preVote: boolean): Promise<boolean> {
    const { state, network } = this.options;
    const request: VoteRequest = {
      to: member.id,
      term,
      candidate: state.options.id,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
      preVote,
    };
    const peer = network.openPeer(member.address);
    try {
      const response = await peer.vote(request, state.options.timings.rpcTimeoutMs);
      if (response.term > term) await state.mutex.run(() => state.adoptTerm(response.term));
      return response.granted;
    } catch {
      return false;
    } finally {
      peer.close();
    }
  }
}
