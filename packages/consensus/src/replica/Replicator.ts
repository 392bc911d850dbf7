import { setTimeout as sleep } from 'node:timers/promises';
import type { Member } from '../log/index.js';
import { Signal } from '../time/index.js';
import type { Peer } from './Peer.js';
import type { ReplicaState } from './ReplicaState.js';

const ENTRY_LIMIT = 512;
const BYTE_LIMIT = 1024 * 1024;
/** A snapshot may take longer than an append. */
const SNAPSHOT_TIMEOUT_FACTOR = 10;

/** What the replication to one member needs. */
export interface ReplicatorOptions {
  state: ReplicaState;
  member: Member;
  peer: Peer;
  term: number;
  isCurrent: () => boolean;
  onProgress: () => void;
}

/**
 * The leader's task for one other member.
 * @internal
 */
export class Replicator {
  /** Last index known to be stored by the member. */
  matchIndex = 0;

  /** Send time of the last message that the member answered in this term. */
  contactAt = -Infinity;

  /** Time at which the replication to the member began. */
  readonly startedAt: number;

  private nextIndex: number;

  private isStopped = false;

  private readonly work = new Signal();

  constructor(private readonly options: ReplicatorOptions) {
    this.nextIndex = options.state.log.lastIndex + 1;
    this.startedAt = options.state.options.now();
  }

  /** Sends entries and heartbeats until the leadership ends. */
  async run(): Promise<void> {
    const { state, peer } = this.options;
    const { heartbeatMs } = state.options.timings;
    while (this.isWanted()) {
      try {
        await this.sendNext();
        if (this.isIdle()) await this.work.wait(heartbeatMs);
      } catch {
        await sleep(heartbeatMs);
      }
    }
    peer.close();
  }

  /** Tells that there may be something to send. */
  notify(): void {
    this.work.notify();
  }

  stop(): void {
    this.isStopped = true;
    this.work.notify();
  }

  private isWanted(): boolean {
    return !this.isStopped && this.options.isCurrent();
  }

  private isIdle(): boolean {
    return this.isWanted() && this.nextIndex > this.options.state.log.lastIndex;
  }

  private async sendNext(): Promise<void> {
    const needsSnapshot = this.nextIndex <= this.options.state.log.compactedIndex;
    if (needsSnapshot) await this.sendSnapshot();
    else await this.sendEntries();
  }

  private async sendEntries(): Promise<void> {
    const { state, member, peer, term } = this.options;
    const previousIndex = this.nextIndex - 1;
    const sentAt = state.options.now();
    const response = await peer.append(
      {
        to: member.id,
        term,
        leader: state.options.id,
        previousIndex,
        previousTerm: state.log.getTerm(previousIndex) ?? 0,
        commitIndex: state.commitIndex,
        entries: state.log.getEntriesFrom(this.nextIndex, ENTRY_LIMIT, BYTE_LIMIT),
      },
      state.options.timings.rpcTimeoutMs,
    );
    if (!(await this.acceptTerm(response.term))) return;
    this.contactAt = sentAt;
    if (response.success) this.advanceTo(response.matchIndex);
    else this.nextIndex = Math.max(1, Math.min(previousIndex, response.matchIndex + 1));
  }

  private async sendSnapshot(): Promise<void> {
    const { state, member, peer, term } = this.options;
    const snapshot = state.takeSnapshot();
    const sentAt = state.options.now();
    const response = await peer.installSnapshot(
      {
        to: member.id,
        term,
        leader: state.options.id,
        index: snapshot.index,
        indexTerm: snapshot.term,
        members: snapshot.members,
        state: snapshot.state,
      },
      state.options.timings.rpcTimeoutMs * SNAPSHOT_TIMEOUT_FACTOR,
    );
    if (!(await this.acceptTerm(response.term))) return;
    this.contactAt = sentAt;
    this.advanceTo(snapshot.index);
  }

  private advanceTo(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    this.nextIndex = this.matchIndex + 1;
    this.options.onProgress();
  }

  private async acceptTerm(term: number): Promise<boolean> {
    const { state } = this.options;
    if (term <= this.options.term) return this.isWanted();
    await state.mutex.run(() => state.adoptTerm(term));
    return false;
  }
}
