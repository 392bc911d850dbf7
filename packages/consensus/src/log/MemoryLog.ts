import type { LogEntry } from './LogEntry.js';

/** The suffix of the log that follows the last snapshot, held in memory. */
export class MemoryLog {
  private entries: LogEntry[] = [];

  private baseIndex = 0;

  private baseTerm = 0;

  /** Gets the index of the last entry, or of the snapshot when no entry follows it. */
  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** Gets the term of the last entry. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.baseTerm;
  }

  /** Gets the index before the first entry held. */
  get firstIndex(): number {
    return this.baseIndex;
  }

  /** Gets the term at an index; undefined when the index is trimmed or beyond the end. */
  getTerm(index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm;
    return this.getEntry(index)?.term;
  }

  /** Gets the entry at an index; undefined when trimmed or beyond the end. */
  getEntry(index: number): LogEntry | undefined {
    if (index <= this.baseIndex) return undefined;
    return this.entries[index - this.baseIndex - 1];
  }

  /** Gets at most `limit` entries and about `bytes` of payload from an index on. */
  getEntriesFrom(index: number, limit: number, bytes: number): LogEntry[] {
    const start = index - this.baseIndex - 1;
    const found: LogEntry[] = [];
    let size = 0;
    for (const entry of this.entries.slice(start, start + limit)) {
      size += entry.payload.length;
      if (found.length > 0 && size > bytes) break;
      found.push(entry);
    }
    return found;
  }

  /** Adds entries that follow the last one. */
  addEntries(entries: LogEntry[]): void {
    this.entries.push(...entries);
  }

  /** Removes the entry at an index and all that follow. */
  removeFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.baseIndex - 1);
  }

  /** Removes all entries up to an index that a snapshot covers. */
  trimTo(index: number): void {
    const term = this.getTerm(index);
    if (term === undefined) return;
    this.entries = this.entries.slice(index - this.baseIndex);
    this.baseIndex = index;
    this.baseTerm = term;
  }

  /** Replaces everything by an empty suffix after a snapshot. */
  reset(index: number, term: number): void {
    this.entries = [];
    this.baseIndex = index;
    this.baseTerm = term;
  }

  /** Gets all entries held. */
  getAll(): LogEntry[] {
    return this.entries;
  }
}
