/** Prefix hashes added to and evicted from the cache since the last event. */
export interface CacheChange {
  added: string[];
  removed: string[];
}

/** LRU cache of the prompt prefixes that an engine holds, identified by their block hashes. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private pendingChange: CacheChange = { added: [], removed: [] };

  /** @param capacity - Maximum number of blocks. */
  constructor(private readonly capacity: number) {}

  /** Counts the leading blocks that are cached. */
  countLeadingHits(prefixes: string[]): number {
    const firstMissing = prefixes.findIndex((prefix) => !this.blocks.has(prefix));
    return firstMissing === -1 ? prefixes.length : firstMissing;
  }

  /** Adds blocks or marks them as most recently used, and evicts the least recently used ones. */
  add(prefixes: string[]): void {
    for (const prefix of prefixes) {
      if (!this.blocks.delete(prefix)) this.pendingChange.added.push(prefix);
      this.blocks.add(prefix);
    }
    for (const prefix of this.blocks) {
      if (this.blocks.size <= this.capacity) break;
      this.blocks.delete(prefix);
      this.pendingChange.removed.push(prefix);
    }
  }

  /** Returns the changes since the last call. */
  takePendingChange(): CacheChange {
    const change = this.pendingChange;
    this.pendingChange = { added: [], removed: [] };
    return change;
  }

  getPrefixes(): string[] {
    return [...this.blocks];
  }
}
