import { FatalError } from '../errors/index.js';
import { decodeMembers, MemoryLog } from '../log/index.js';
import type { LogEntry } from '../log/index.js';
import type { Ballot, Snapshot, Storage } from '../storage/index.js';
import { Mutex, Signal } from '../time/index.js';
import type { Timings } from '../time/index.js';
import { MemberHistory } from './MemberHistory.js';
import type { ReplicaEvent, Role } from './ReplicaEvent.js';
import type { StateMachine } from './StateMachine.js';

/** Options for {@link ReplicaState}. */
export interface ReplicaStateOptions {
  id: string;
  storage: Storage;
  stateMachine: StateMachine;
  timings: Timings;
  snapshotEvery: number;
  /** Size of the stored log in bytes above which a snapshot is taken. */
  snapshotBytes: number;
  /** Target number of voters; further members stay learners until a voter is unresponsive. */
  targetVoters: number;
  /** True if the application uses `hasLease`; a restart must not violate a lease granted before. */
  usesLeases: boolean;
  /** Monotonic clock in milliseconds. */
  now: () => number;
  random: () => number;
  onEvent: (event: ReplicaEvent) => void;
}

/** Called with the result of each applied entry. */
type AppliedListener = (entry: LogEntry, result: unknown) => void;

/**
 * Fraction of the election delay used until the first leader contact after a start without leases.
 * No vote is withheld then, so elections may come early; it shortens the time without a leader after
 * a restart of all replicas, some of which cannot be reached at first.
 */
const STARTUP_DELAY_FACTOR = 0.3;

/** Entries retained before a snapshot, so that a slightly lagging member needs no snapshot. */
const TRAILING_ENTRIES = 500;
/** Maximum payload size of the retained entries, as a fraction of `snapshotBytes`. */
const TRAILING_BYTES_FACTOR = 0.25;

/**
 * Term, role, log and commit index of a replica. Changes to durable state require `mutex`.
 * @internal
 */
export class ReplicaState {
  role: Role = 'follower';

  term = 0;

  votedFor: string | undefined;

  leaderId: string | undefined;

  /**
   * Time of the last leader contact, or of the start of the replica. All times are in milliseconds
   * of the monotonic clock `options.now`.
   */
  leaderContactAt: number;

  /** Time until which votes are withheld, since a leader is or may have been in contact. */
  votesWithheldUntil = 0;

  /** Time at which an election is started unless a leader has been in contact before. */
  electionDueAt = 0;

  /**
   * True once everything is applied that a leader reported as committed at some time since the
   * start. Stays true when this replica falls behind later.
   */
  isCaughtUp = false;

  commitIndex = 0;

  appliedIndex = 0;

  isStopped = false;

  /** True until the first leader contact, unless a lease may have been granted before the start. */
  private isStarting: boolean;

  onApplied: AppliedListener | undefined;

  readonly log = new MemoryLog();

  readonly members = new MemberHistory();

  readonly mutex = new Mutex();

  readonly changed = new Signal();

  private snapshotIndex = 0;

  constructor(readonly options: ReplicaStateOptions) {
    this.leaderContactAt = options.now();
    this.isStarting = !options.usesLeases;
    if (options.usesLeases) this.recordLeaderContact();
    else this.scheduleCampaign();
  }

  /**
   * Loads the state from storage. Only the snapshot is applied; which of the stored entries are
   * committed is learnt from a leader.
   */
  async load(): Promise<void> {
    const stored = await this.options.storage.load();
    this.term = stored.ballot.term;
    this.votedFor = stored.ballot.votedFor;
    if (stored.snapshot) this.restoreSnapshot(stored.snapshot);
    this.addToLog(stored.entries);
    this.term = Math.max(this.term, this.log.lastTerm);
  }

  /** Changes the role and reports the change. */
  setRole(role: Role): void {
    if (this.role === role) return;
    this.role = role;
    this.options.onEvent({ kind: 'role', role, term: this.term });
    this.changed.notify();
  }

  /** Adopts a higher term and becomes a follower. Requires the mutex. */
  async adoptTerm(term: number): Promise<void> {
    if (term <= this.term) return;
    await this.saveBallot({ term, votedFor: undefined });
    this.leaderId = undefined;
    this.setRole('follower');
  }

  /** Persists the term and vote before they take effect. Requires the mutex. */
  async saveBallot(ballot: Ballot): Promise<void> {
    await this.persist(() => this.options.storage.saveBallot(ballot));
    this.term = ballot.term;
    this.votedFor = ballot.votedFor;
  }

  /** Persists and appends entries that follow the last one. Requires the mutex. */
  async append(entries: LogEntry[]): Promise<void> {
    if (entries.length === 0) return;
    await this.persist(() => this.options.storage.append(entries));
    this.addToLog(entries);
  }

  /**
   * Replaces the entries starting at an index. Stops the replica, without replacing any, if one of
   * them is committed. Requires the mutex.
   */
  async overwrite(index: number, entries: LogEntry[]): Promise<void> {
    if (index <= this.commitIndex) this.fail(`entry ${index} is committed and was overwritten`);
    this.log.truncateFrom(index);
    this.members.truncateFrom(index);
    await this.persist(() =>
      this.options.storage.replaceEntries([...this.log.getEntries(), ...entries]),
    );
    this.addToLog(entries);
  }

  /** Advances the commit index and applies the newly committed entries. */
  commitTo(index: number): void {
    if (index <= this.commitIndex) return;
    if (index > this.log.lastIndex) this.fail(`commit ${index} is beyond ${this.log.lastIndex}`);
    this.commitIndex = index;
    while (this.appliedIndex < this.commitIndex) this.applyNext();
    this.changed.notify();
    this.saveSnapshotIfNeeded();
  }

  /**
   * Persists and installs a snapshot received from the leader. Ignores a snapshot that is not
   * beyond the commit index. Requires the mutex.
   */
  async installSnapshot(snapshot: Snapshot): Promise<void> {
    if (snapshot.index <= this.commitIndex) return;
    await this.persist(() => this.options.storage.saveSnapshot(snapshot));
    await this.persist(() => this.options.storage.replaceEntries([]));
    this.restoreSnapshot(snapshot);
    this.changed.notify();
  }

  /** Takes a snapshot of the state as of the last applied entry. */
  takeSnapshot(): Snapshot {
    const index = this.appliedIndex;
    return {
      index,
      term: this.log.getTerm(index) ?? 0,
      members: this.members.getAt(index),
      state: this.options.stateMachine.takeSnapshot(),
    };
  }

  /** Withholds votes and postpones the next election, since a leader is in contact. */
  recordLeaderContact(): void {
    this.leaderContactAt = this.options.now();
    this.votesWithheldUntil = this.leaderContactAt + this.options.timings.electionTimeoutMs;
    this.isStarting = false;
    this.resetElectionTimer();
  }

  /** Sets the time of the next campaign of a replica that has had no success so far. */
  scheduleCampaign(): void {
    const factor = this.isStarting ? STARTUP_DELAY_FACTOR : 1;
    this.electionDueAt = this.options.now() + this.getElectionDelay() * factor;
  }

  resetElectionTimer(): void {
    this.electionDueAt = this.options.now() + this.getElectionDelay();
  }

  /**
   * Marks this replica as caught up once it has applied the commit index reported by a leader. The
   * index must be that of an entry of the leader's own term: before that, a new leader may not know
   * all entries committed in earlier terms.
   */
  updateCaughtUp(commitIndex: number, leaderTerm: number): void {
    if (this.isCaughtUp || this.appliedIndex < commitIndex) return;
    if (this.log.getTerm(commitIndex) !== leaderTerm) return;
    this.isCaughtUp = true;
    this.changed.notify();
  }

  /** Stops the replica and reports a fatal event, because continuing could violate consistency. */
  fail(reason: string, cause?: unknown): never {
    this.isStopped = true;
    this.role = 'follower';
    this.options.onEvent({ kind: 'fatal', reason });
    this.changed.notify();
    throw new FatalError(reason, { cause });
  }

  private getElectionDelay(): number {
    return this.options.timings.electionTimeoutMs * (1 + this.options.random());
  }

  private async persist(operation: () => Promise<void>): Promise<void> {
    if (this.isStopped) throw new FatalError('the replica has stopped');
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
    const result = isCommand
      ? this.options.stateMachine.apply(entry.payload, entry.index)
      : undefined;
    this.appliedIndex = entry.index;
    this.onApplied?.(entry, result);
    return undefined;
  }

  private saveSnapshotIfNeeded(): void {
    const { snapshotEvery, snapshotBytes, storage } = this.options;
    const count = this.appliedIndex - this.snapshotIndex;
    const isLogTooLarge = storage.getLogBytes() > snapshotBytes;
    if (count === 0 || (count < snapshotEvery && !isLogTooLarge)) return;
    this.snapshotIndex = this.appliedIndex;
    this.mutex.run(() => this.saveSnapshot()).catch(() => undefined);
  }

  private async saveSnapshot(): Promise<void> {
    const snapshot = this.takeSnapshot();
    await this.persist(() => this.options.storage.saveSnapshot(snapshot));
    this.log.compactTo(this.getCompactionIndex(snapshot.index));
    await this.persist(() => this.options.storage.replaceEntries(this.log.getEntries()));
    const { index, state } = snapshot;
    this.options.onEvent({ kind: 'snapshot', index, bytes: state.length });
  }

  /** Gets the index to compact to, which retains recent entries for slightly lagging members. */
  private getCompactionIndex(snapshotIndex: number): number {
    const { log } = this;
    let index = Math.max(log.compactedIndex, snapshotIndex);
    let bytes = 0;
    while (index > log.compactedIndex && snapshotIndex - index < TRAILING_ENTRIES) {
      bytes += log.getEntry(index)?.payload.length ?? 0;
      if (bytes > this.options.snapshotBytes * TRAILING_BYTES_FACTOR) break;
      index -= 1;
    }
    return index;
  }

  private restoreSnapshot(snapshot: Snapshot): void {
    this.options.stateMachine.restore(snapshot.state);
    this.log.reset(snapshot.index, snapshot.term);
    this.members.reset(snapshot.index, snapshot.members);
    this.commitIndex = snapshot.index;
    this.appliedIndex = snapshot.index;
    this.snapshotIndex = snapshot.index;
  }
}
