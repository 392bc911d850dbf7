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
  /** Number of voters beyond which newcomers stay learners until a voter falls silent. */
  targetVoters: number;
  now: () => number;
  random: () => number;
  onEvent: (event: ReplicaEvent) => void;
}

/** Receives the result of each applied entry. */
type AppliedListener = (entry: LogEntry, result: unknown) => void;

/** Entries kept behind a snapshot, so that a member slightly behind needs no snapshot. */
const TRAILING_ENTRIES = 500;

/**
 * Term, role, log and commit position of a replica. Durable changes run inside `mutex`.
 * @internal
 */
export class ReplicaState {
  role: Role = 'follower';

  term = 0;

  votedFor: string | undefined;

  leaderId: string | undefined;

  /** Time of the last message from a leader; a restart counts as one, so no lease is cut short. */
  heardAt: number;

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
    this.resetElectionTimer();
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
    this.log.removeFrom(index);
    this.members.removeFrom(index);
    await this.persist(() =>
      this.options.storage.replaceEntries([...this.log.getAll(), ...entries]),
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

  resetElectionTimer(): void {
    const { electionTimeoutMs } = this.options.timings;
    this.electionAt = this.options.now() + electionTimeoutMs * (1 + this.options.random());
  }

  /** Stops the replica because going on would do harm. */
  fail(reason: string, cause?: unknown): never {
    this.isStopped = true;
    this.role = 'follower';
    this.options.onEvent({ kind: 'fatal', reason });
    this.changed.notify();
    throw new FatalFault(reason, { cause });
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
    if (this.appliedIndex - this.snapshotIndex < this.options.snapshotEvery) return;
    this.snapshotIndex = this.appliedIndex;
    this.mutex.run(() => this.saveOwnSnapshot()).catch(() => undefined);
  }

  private async saveOwnSnapshot(): Promise<void> {
    const snapshot = this.takeSnapshot();
    await this.persist(() => this.options.storage.saveSnapshot(snapshot));
    this.log.trimTo(Math.max(this.log.firstIndex, snapshot.index - TRAILING_ENTRIES));
    await this.persist(() => this.options.storage.replaceEntries(this.log.getAll()));
    const { index, state } = snapshot;
    this.options.onEvent({ kind: 'snapshot', index, bytes: state.length });
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
