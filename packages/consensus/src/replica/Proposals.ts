import { NotLeaderError, OutcomeUnknownError } from '../errors/index.js';
import type { LogEntryKind, LogEntry } from '../log/index.js';

interface Proposal {
  kind: LogEntryKind;
  payload: Uint8Array;
  resolve: (result: unknown) => void;
  reject: (error: Error) => void;
}

interface AppendedProposal {
  term: number;
  proposal: Proposal;
}

/**
 * Tracks the pending proposals of a leader, both queued and appended to the log.
 * @internal
 */
export class Proposals {
  private queued: Proposal[] = [];

  private readonly appended = new Map<number, AppendedProposal>();

  get hasQueued(): boolean {
    return this.queued.length > 0;
  }

  /** True while a member list is queued or appended, including one that is still being written. */
  get hasMemberList(): boolean {
    const appended = [...this.appended.values()].map(({ proposal }) => proposal);
    return [...this.queued, ...appended].some(({ kind }) => kind === 'members');
  }

  /** Queues a proposal and resolves with the result of applying it. */
  add(kind: LogEntryKind, payload: Uint8Array): Promise<unknown> {
    return new Promise((resolve, reject) => {
      this.queued.push({ kind, payload, resolve, reject });
    });
  }

  /** Dequeues up to `limit` proposals as log entries that follow `lastIndex`. */
  takeEntries(lastIndex: number, term: number, limit: number): LogEntry[] {
    return this.queued.splice(0, limit).map((proposal, position) => {
      const index = lastIndex + position + 1;
      this.appended.set(index, { term, proposal });
      return { index, term, kind: proposal.kind, payload: proposal.payload };
    });
  }

  /**
   * Settles the proposal appended at the index of an applied entry, if there is one: resolves it with
   * the result, or rejects it with `OutcomeUnknownError` if an entry of another term replaced its own.
   */
  settle({ index, term }: LogEntry, result: unknown): void {
    const appended = this.appended.get(index);
    if (!appended) return;
    this.appended.delete(index);
    if (appended.term === term) appended.proposal.resolve(result);
    else appended.proposal.reject(new OutcomeUnknownError('another leader replaced the entry'));
  }

  /**
   * Rejects all pending proposals: queued ones with `NotLeaderError`, since they never reached the
   * log; appended ones with `OutcomeUnknownError`, since they may still be committed.
   */
  fail(leaderAddress: string | undefined): void {
    this.queued.forEach((proposal) => proposal.reject(new NotLeaderError(leaderAddress)));
    this.appended.forEach(({ proposal }) =>
      proposal.reject(new OutcomeUnknownError('leadership was lost before the commit')),
    );
    this.queued = [];
    this.appended.clear();
  }
}
