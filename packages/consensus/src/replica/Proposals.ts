import { NotLeader, OutcomeUnknown } from '../errors/index.js';
import type { EntryKind, LogEntry } from '../log/index.js';

interface Proposal {
  kind: EntryKind;
  payload: Uint8Array;
  resolve: (result: unknown) => void;
  reject: (error: Error) => void;
}

/**
 * Proposals of one leader, before and after their append.
 * @internal
 */
export class Proposals {
  private queued: Proposal[] = [];

  private readonly appended = new Map<number, Proposal>();

  get hasQueued(): boolean {
    return this.queued.length > 0;
  }

  /** Queues a proposal and gets the result of its application. */
  add(kind: EntryKind, payload: Uint8Array): Promise<unknown> {
    return new Promise((resolve, reject) => {
      this.queued.push({ kind, payload, resolve, reject });
    });
  }

  /** Turns the queued proposals into entries that follow an index. */
  takeEntries(lastIndex: number, term: number, limit: number): LogEntry[] {
    return this.queued.splice(0, limit).map((proposal, position) => {
      const index = lastIndex + position + 1;
      this.appended.set(index, proposal);
      return { index, term, kind: proposal.kind, payload: proposal.payload };
    });
  }

  /** Settles the proposal of an applied entry. */
  settle(index: number, result: unknown): void {
    this.appended.get(index)?.resolve(result);
    this.appended.delete(index);
  }

  /** Fails everything open: queued proposals were not run, appended ones may yet be. */
  fail(leaderAddress: string | undefined): void {
    this.queued.forEach((proposal) => proposal.reject(new NotLeader(leaderAddress)));
    this.appended.forEach((proposal) =>
      proposal.reject(new OutcomeUnknown('leadership was lost before the commit')),
    );
    this.queued = [];
    this.appended.clear();
  }
}
