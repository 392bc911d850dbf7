import { NotLeaderError, OutcomeUnknownError } from '../errors/index.js';
import type { LogEntryKind, LogEntry } from '../log/index.js';

interface Proposal {
  kind: LogEntryKind;
  payload: Uint8Array;
  resolve: (result: unknown) => void;
  reject: (error: Error) => void;
}

/**
 * Tracks the pending proposals of a leader, both queued and appended to the log.
 * @internal
 */
export class Proposals {
  private queued: Proposal[] = [];

  private readonly appended = new Map<number, Proposal>();

  get hasQueued(): boolean {
    return this.queued.length > 0;
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
      this.appended.set(index, proposal);
      return { index, term, kind: proposal.kind, payload: proposal.payload };
    });
  }

  /** Resolves the proposal of an applied entry, if it was made on this replica. */
  settle(index: number, result: unknown): void {
    this.appended.get(index)?.resolve(result);
    this.appended.delete(index);
  }

  /**
   * Rejects all pending proposals: queued ones with `NotLeader`, since they never reached the log;
   * appended ones with `OutcomeUnknown`, since they may still be committed.
   */
  fail(leaderAddress: string | undefined): void {
    this.queued.forEach((proposal) => proposal.reject(new NotLeaderError(leaderAddress)));
    this.appended.forEach((proposal) =>
      proposal.reject(new OutcomeUnknownError('proposal is not known to be committed')),
    );
    this.queued = [];
    this.appended.clear();
  }
}
