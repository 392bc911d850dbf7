/** Type of a log entry: an application command, a membership change, or an empty entry. */
export type EntryKind = 'command' | 'members' | 'noop';

/** An entry of the replicated log. */
export interface LogEntry {
  /** Position in the log; starts at 1 and has no gaps. */
  index: number;
  /** Term of the leader that created the entry. */
  term: number;
  kind: EntryKind;
  payload: Uint8Array;
}
