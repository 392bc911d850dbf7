/** Type of a log entry: an application command, a membership change, or an empty entry. */
export type LogEntryKind = 'command' | 'members' | 'noop';

/** An entry of the replicated log. */
export interface LogEntry {
  /** Position in the log; starts at 1 and has no gaps. */
  index: number;
  /** Term of the leader that created the entry. */
  term: number;
  kind: LogEntryKind;
  payload: Uint8Array;
}
