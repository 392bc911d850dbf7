import { FatalFault } from '../errors/index.js';
import { decodeMembers, MemoryLog } from '../log/index.js';
import type { LogEntry } from '../log/index.js';
import type { Ballot, Snapshot, Storage } from '../storage/index.js';
import { Mutex, Signal } from '../time/index.js';
import type { Timings } from '../time/index.js';
import { MemberHistory } from './MemberHistory.js';
import type { ReplicaEvent, Role } from './ReplicaEvent.js';
import type { StateMachine } from './StateMachine.js';

/** What the tasks of a replica share. */
export interface ReplicaStateOptions {
  id: string;
  storage: Storage;
  machine: StateMachine;
  timings: Timings;
  snapshotEvery: number;
  /** Bytes of the stored log beyond which a snapshot is taken. */
  snapshotBytes: number;
  /** Number of voters beyond which newcomers stay learners until a voter falls silent. */
  targetVoters: number;
  /** True when the host relies on `hasLease`, which a restart must not cut short. */
  usesLeases: boolean;
  now: () => number;
  random: () => number;
  onEvent: (event: ReplicaEvent) => void;
}

/** Receives the result of each applied entry. */
type AppliedListener = (entry: LogEntry, result: unknown) => void;

/** Part of the usual delay after which a replica that has just started may campaign. */
const FIRST_ELECTION_SHARE = 0.3;

/** Entries kept behind a snapshot, so that a member slightly behind needs no snapshot. */
const TRAILING_ENTRIES = 500;
/** Part of the bytes of a full log that such entries may take. */
const TRAILING_SHARE = 0.25;

/**
 * Term, role, log and commit position of a replica. Durable changes run inside `mutex`.
 * @internal
 */
export class ReplicaState {
  role: Role = 'follower';

  term = 0;

  votedFor: string | undefined;

  leaderId: string | undefined;

  /** Time of the last message from a leader, or of the start. */
  heardAt: number;

  /** Time until which no other leader is voted for. */
  trustedUntil = 0;

  electionAt = 0;

  /** True once everything is applied that a leader has told to be committed since the start. */
  isCaughtUp = false;

  commitIndex = 0;

  appliedIndex = 0;

  isStopped = false;

  onApplied: AppliedListener | undefined;

  readonly log = new MemoryLog();

  readonly members = new MemberHistory();

  readonly mutex = new Mutex();

  readonly changed = new Signal();

  private snapshotIndex = 0;

  constructor(readonly options: ReplicaStateOptions) {
    this.heardAt = options.now();
    if (options.usesLeases) this.trustLeader();
    else this.electionAt = this.heardAt + this.getElectionDelay() * FIRST_ELECTION_SHARE;
  }

  /** Loads what storage holds. */
  async load(): Promise<void> {
    const stored = await this.options.storage.load();
    this.term = stored.ballot.term;
    this.votedFor = stored.ballot.votedFor;
    if (stored.snapshot) this.adoptSnapshot(stored.snapshot);
    this.addToLog(stored.entries);
    this.term = Math.max(this.term, this.log.lastTerm);
  }

  /** Changes the role and tells the host. */
  setRole(role: Role): void {
    if (this.role === role) return;
    this.role = role;
    this.options.onEvent({ kind: 'role', role, term: this.term });
    this.changed.notify();
  }

  /** Adopts a higher term and becomes a follower. Runs inside the mutex. */
  async adoptTerm(term: number): Promise<void> {
    if (term <= this.term) return;
    await this.saveBallot({ term, votedFor: undefined });
    this.leaderId = undefined;
    this.setRole('follower');
  }

  /** Saves term and vote before they take effect. Runs inside the mutex. */
  async saveBallot(ballot: Ballot): Promise<void> {
    await this.persist(() => this.options.storage.saveBallot(ballot));
    this.term = ballot.term;
    this.votedFor = ballot.votedFor;
  }

  /** Appends entries that follow the last one. Runs inside the mutex. */
  async append(entries: LogEntry[]): Promise<void> {
    if (entries.length === 0) return;
    await this.persist(() => this.options.storage.append(entries));
    this.addToLog(entries);
  }

  /** Removes uncommitted entries from an index on and appends others. Runs inside the mutex. */
  async overwrite(index: number, entries: LogEntry[]): Promise<void> {
    if (index <= this.commitIndex) this.fail(`entry ${index} is committed and was overwritten`);
    this.log.truncateFrom(index);
    this.members.removeFrom(index);
    await this.persist(() =>
      this.options.storage.replaceEntries([...this.log.getEntries(), ...entries]),
    );
    this.addToLog(entries);
  }

  /** Moves the commit position forward and applies what it covers. */
  commitTo(index: number): void {
    if (index <= this.commitIndex) return;
    if (index > this.log.lastIndex) this.fail(`commit ${index} is beyond ${this.log.lastIndex}`);
    this.commitIndex = index;
    while (this.appliedIndex < this.commitIndex) this.applyNext();
    this.changed.notify();
    this.takeSnapshotWhenDue();
  }

  /** Installs a snapshot received from the leader. Runs inside the mutex. */
  async installSnapshot(snapshot: Snapshot): Promise<void> {
    if (snapshot.index <= this.commitIndex) return;
    await this.persist(() => this.options.storage.saveSnapshot(snapshot));
    await this.persist(() => this.options.storage.replaceEntries([]));
    this.adoptSnapshot(snapshot);
    this.changed.notify();
  }

  /** Gets the state after the last applied entry. */
  takeSnapshot(): Snapshot {
    const index = this.appliedIndex;
    return {
      index,
      term: this.log.getTerm(index) ?? 0,
      members: this.members.getAt(index),
      state: this.options.machine.takeSnapshot(),
    };
  }

  /** Votes for no other leader until the election timeout is over. */
  trustLeader(): void {
    this.heardAt = this.options.now();
    this.trustedUntil = this.heardAt + this.options.timings.electionTimeoutMs;
    this.resetElectionTimer();
  }

  resetElectionTimer(): void {
    this.electionAt = this.options.now() + this.getElectionDelay();
  }

  /**
   * Notes that a leader's commit position is applied. It vouches for all earlier entries only once
   * it covers an entry of the leader's own term.
   */
  noteCaughtUp(commitIndex: number, leaderTerm: number): void {
    if (this.isCaughtUp || this.appliedIndex < commitIndex) return;
    if (this.log.getTerm(commitIndex) !== leaderTerm) return;
    this.isCaughtUp = true;
    this.changed.notify();
  }

  /** Stops the replica because going on would do harm. */
  fail(reason: string, cause?: unknown): never {
    this.isStopped = true;
    this.role = 'follower';
    this.options.onEvent({ kind: 'fatal', reason });
    this.changed.notify();
    throw new FatalFault(reason, { cause });
  }

  private getElectionDelay(): number {
    return this.options.timings.electionTimeoutMs * (1 + this.options.random());
  }

  private async persist(operation: () => Promise<void>): Promise<void> {
    if (this.isStopped) throw new FatalFault('the replica has stopped');
    try {
      await operation();
    } catch (error) {
      this.fail(`storage failed: ${String(error)}`, error);
    }
  }

  private addToLog(entries: LogEntry[]): void {
    this.log.addEntries(entries);
    for (const entry of entries) {
      if (entry.kind === 'members') this.addMembers(entry);
    }
  }

  private addMembers(entry: LogEntry): void {
    const members = decodeMembers(entry.payload);
    this.members.addVersion(entry.index, members);
    this.options.onEvent({ kind: 'members', index: entry.index, ids: members.map(({ id }) => id) });
  }

  private applyNext(): void {
    const entry = this.log.getEntry(this.appliedIndex + 1);
    if (!entry) return this.fail(`entry ${this.appliedIndex + 1} is missing`);
    const isCommand = entry.kind === 'command';
    const result = isCommand ? this.options.machine.apply(entry.payload, entry.index) : undefined;
    this.appliedIndex = entry.index;
    this.onApplied?.(entry, result);
    return undefined;
  }

  private takeSnapshotWhenDue(): void {
    const { snapshotEvery, snapshotBytes, storage } = this.options;
    const count = this.appliedIndex - this.snapshotIndex;
    const isLarge = storage.getLogBytes() > snapshotBytes;
    if (count === 0 || (count < snapshotEvery && !isLarge)) return;
    this.snapshotIndex = this.appliedIndex;
    this.mutex.run(() => this.saveOwnSnapshot()).catch(() => undefined);
  }

  private async saveOwnSnapshot(): Promise<void> {
    const snapshot = this.takeSnapshot();
    await this.persist(() => this.options.storage.saveSnapshot(snapshot));
    this.log.compactTo(this.getTrimIndex(snapshot.index));
    await this.persist(() => this.options.storage.replaceEntries(this.log.getEntries()));
    const { index, state } = snapshot;
    this.options.onEvent({ kind: 'snapshot', index, bytes: state.length });
  }

  /** Keeps what members slightly behind may need, within a part of the bytes of a full log. */
  private getTrimIndex(snapshotIndex: number): number {
    const { log } = this;
    let index = Math.max(log.compactedIndex, snapshotIndex);
    let bytes = 0;
    while (index > log.compactedIndex && snapshotIndex - index < TRAILING_ENTRIES) {
      bytes += log.getEntry(index)?.payload.length ?? 0;
      if (bytes > this.options.snapshotBytes * TRAILING_SHARE) break;
      index -= 1;
    }
    return index;
  }

  private adoptSnapshot(snapshot: Snapshot): void {
    this.options.machine.restore(snapshot.state);
    this.log.reset(snapshot.index, snapshot.term);
    this.members.reset(snapshot.index, snapshot.members);
    this.commitIndex = snapshot.index;
    this.appliedIndex = snapshot.index;
    this.snapshotIndex = snapshot.index;
  }
}
