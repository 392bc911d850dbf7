import type { LogEntry, Member } from '../log/index.js';

/** Current term and the vote cast in it; must survive a restart. */
export interface Ballot {
  term: number;
  votedFor: string | undefined;
}

/** Snapshot of the state machine, taken after applying the entry at `index`. */
export interface Snapshot {
  index: number;
  term: number;
  members: Member[];
  state: Uint8Array;
}

/** The persisted state as loaded at startup. */
export interface StoredState {
  ballot: Ballot;
  snapshot: Snapshot | undefined;
  entries: LogEntry[];
}

/** Durable storage of one replica. A write resolves only once its data is synced to disk. */
export interface Storage {
  /**
   * Loads the persisted state.
   * @throws CorruptStorageError if a frame is damaged that is not part of a torn tail.
   * @throws StorageError if a torn tail cannot be removed.
   */
  load(): Promise<StoredState>;
  saveBallot(ballot: Ballot): Promise<void>;
  append(entries: LogEntry[]): Promise<void>;
  /** Replaces all stored log entries, after a conflict with the leader or after a snapshot. */
  replaceEntries(entries: LogEntry[]): Promise<void>;
  saveSnapshot(snapshot: Snapshot): Promise<void>;
  /** Gets the size of the log file in bytes. */
  getLogBytes(): number;
  close(): Promise<void>;
}
