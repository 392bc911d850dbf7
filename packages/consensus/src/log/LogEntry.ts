/** What an entry carries: an opaque command, a member list, or nothing. */
export type EntryKind = 'command' | 'members' | 'noop';

/** One record of the replicated log. */
export interface LogEntry {
  /** Position, counted from 1 without gaps. */
  index: number;
  /** Election term of the leader that created the entry. */
  term: number;
  kind: EntryKind;
  payload: Uint8Array;
}
