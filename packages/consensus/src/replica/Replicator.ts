import { setTimeout as sleep } from 'node:timers/promises';
import type { Member } from '../log/index.js';
import { Signal } from '../time/index.js';
import type { Peer } from './Peer.js';
import type { ReplicaState } from './ReplicaState.js';

const MAX_ENTRIES_PER_MESSAGE = 512;
const MAX_BYTES_PER_MESSAGE = 1024 * 1024;
/** Multiple of the RPC timeout, since a snapshot takes longer to transfer than an append. */
const SNAPSHOT_TIMEOUT_FACTOR = 10;

/** Options for {@link Replicator}. */
export interface ReplicatorOptions {
  state: ReplicaState;
  member: Member;
  peer: Peer;
  term: number;
  isCurrent: () => boolean;
  onProgress: () => void;
}

/**
 * Replicates the log of the leader to one other member.
 * @internal
 */
export class Replicator {
  /** Highest log index known to be stored by the member. */
  matchIndex = 0;

  /** Send time of the last message that the member has responded to in this term. */
  lastContactAt = -Infinity;

  /** Time at which replication to the member started. */
  readonly startedAt: number;

  private nextIndex: number;

  private isStopped = false;

  private readonly workAvailable = new Signal();

  constructor(private readonly options: ReplicatorOptions) {
    this.nextIndex = options.state.log.lastIndex + 1;
    this.startedAt = options.state.options.now();
  }

  /** Sends entries, snapshots and heartbeats until leadership ends or the replicator is stopped. */
  async run(): Promise<void> {
    const { state, peer } = this.options;
    const { heartbeatMs } = state.options.timings;
    while (this.isActive()) {
      try {
        await this.sendNext();
        if (this.isIdle()) await this.workAvailable.wait(heartbeatMs);
      } catch {
        await sleep(heartbeatMs);
      }
    }
    peer.close();
  }

  /** Wakes the replicator, because there may be something to send. */
  notify(): void {
    this.workAvailable.notify();
  }

  stop(): void {
    this.isStopped = true;
    this.workAvailable.notify();
  }

  private isActive(): boolean {
    return !this.isStopped && this.options.isCurrent();
  }

  private isIdle(): boolean {
    return this.isActive() && this.nextIndex > this.options.state.log.lastIndex;
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
        entries: state.log.getEntriesFrom(
          this.nextIndex,
          MAX_ENTRIES_PER_MESSAGE,
          MAX_BYTES_PER_MESSAGE,
        ),
      },
      state.options.timings.rpcTimeoutMs,
    );
    if (!(await this.checkTerm(response.term))) return;
    this.lastContactAt = sentAt;
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
    if (!(await this.checkTerm(response.term))) return;
    this.lastContactAt = sentAt;
    this.advanceTo(snapshot.index);
  }

  private advanceTo(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    this.nextIndex = this.matchIndex + 1;
    this.options.onProgress();
  }

  private async checkTerm(term: number): Promise<boolean> {
    const { state } = this.options;
    if (term <= this.options.term) return this.isActive();
    await state.mutex.run(() => state.adoptTerm(term));
    return false;
  }
}
