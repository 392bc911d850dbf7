/** Changes of the cache since the last event. */
export interface CacheChange {
  added: string[];
  removed: string[];
}

/** The prefixes an engine holds, the least recently used ones dropped first. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private change: CacheChange = { added: [], removed: [] };

  /** @param capacity - Number of blocks held. */
  constructor(private readonly capacity: number) {}

  /** Gets how many leading blocks are held. */
  getHits(prefixes: string[]): number {
    const missing = prefixes.findIndex((prefix) => !this.blocks.has(prefix));
    return missing === -1 ? prefixes.length : missing;
  }

  /** Adds blocks, or makes them the most recently used. */
  add(prefixes: string[]): void {
    for (const prefix of prefixes) {
      if (!this.blocks.delete(prefix)) this.change.added.push(prefix);
      this.blocks.add(prefix);
    }
    for (const prefix of this.blocks) {
      if (this.blocks.size <= this.capacity) break;
      this.blocks.delete(prefix);
      this.change.removed.push(prefix);
    }
  }

  /** Gets the changes since the last call. */
  takeChange(): CacheChange {
    const taken = this.change;
    this.change = { added: [], removed: [] };
    return taken;
  }

  getAll(): string[] {
    return [...this.blocks];
  }
}
