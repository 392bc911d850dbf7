import type { LogEntry, Member } from '../log/index.js';

/** The vote that must survive a restart. */
export interface Ballot {
  term: number;
  votedFor: string | undefined;
}

/** State of the machine after the entry at `index`. */
export interface Snapshot {
  index: number;
  term: number;
  members: Member[];
  state: Uint8Array;
}

/** What storage held at start. */
export interface StoredState {
  ballot: Ballot;
  snapshot: Snapshot | undefined;
  entries: LogEntry[];
}

/** Durable state of one replica. Each method resolves only once its data is synced. */
export interface Storage {
  /**
   * Loads everything.
   * @throws CorruptStorage when a record other than a torn tail is damaged.
   */
  load(): Promise<StoredState>;
  saveBallot(ballot: Ballot): Promise<void>;
  append(entries: LogEntry[]): Promise<void>;
  /** Replaces the stored suffix, after a conflict or a snapshot. */
  replaceEntries(entries: LogEntry[]): Promise<void>;
  saveSnapshot(snapshot: Snapshot): Promise<void>;
  /** Gets the size of the log file in bytes. */
  getLogBytes(): number;
  close(): Promise<void>;
}
