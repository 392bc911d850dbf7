import type { LogEntry } from './LogEntry.js';

/** The part of the log that has not been compacted, held in memory. */
export class MemoryLog {
  private entries: LogEntry[] = [];

  private lastCompactedIndex = 0;

  private lastCompactedTerm = 0;

  /** Gets the index of the last entry, or the compacted index if the log holds no entries. */
  get lastIndex(): number {
    return this.lastCompactedIndex + this.entries.length;
  }

  /** Gets the term of the last entry, or of the last compacted entry if the log holds none. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.lastCompactedTerm;
  }

  /** Gets the index of the last compacted entry, the one before the first entry held; 0 if none. */
  get compactedIndex(): number {
    return this.lastCompactedIndex;
  }

  /**
   * Gets the term of the entry at an index, or of the last compacted entry at the compacted index;
   * undefined below that index or past the end.
   */
  getTerm(index: number): number | undefined {
    if (index === this.lastCompactedIndex) return this.lastCompactedTerm;
    return this.getEntry(index)?.term;
  }

  /** Gets the entry at an index; undefined if it is compacted or past the end. */
  getEntry(index: number): LogEntry | undefined {
    if (index <= this.lastCompactedIndex) return undefined;
    return this.entries[index - this.lastCompactedIndex - 1];
  }

  /**
   * Gets the entries starting at an index, limited by count and by total payload size. The first
   * entry is returned even if it alone exceeds `bytes`, so that replication makes progress.
   */
  getEntriesFrom(index: number, limit: number, bytes: number): LogEntry[] {
    const start = index - this.lastCompactedIndex - 1;
    const found: LogEntry[] = [];
    let size = 0;
    for (const entry of this.entries.slice(start, start + limit)) {
      size += entry.payload.length;
      if (found.length > 0 && size > bytes) break;
      found.push(entry);
    }
    return found;
  }

  /** Appends entries; the first one must directly follow the last entry of the log. */
  addEntries(entries: LogEntry[]): void {
    this.entries.push(...entries);
  }

  /** Removes the entry at an index and all entries after it. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.lastCompactedIndex - 1);
  }

  /** Removes the entries up to and including an index, which must be covered by a snapshot. */
  compactTo(index: number): void {
    const term = this.getTerm(index);
    if (term === undefined) return;
    this.entries = this.entries.slice(index - this.lastCompactedIndex);
    this.lastCompactedIndex = index;
    this.lastCompactedTerm = term;
  }

  /** Removes all entries and restarts the log after the given snapshot position. */
  reset(index: number, term: number): void {
    this.entries = [];
    this.lastCompactedIndex = index;
    this.lastCompactedTerm = term;
  }

  getEntries(): LogEntry[] {
    return this.entries;
  }
}
