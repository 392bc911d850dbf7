import type { Engine } from '@azurecart/scheduling';
import type { CacheEvents, EngineState } from '@azurecart/protocol';

/**
 * Tracks the contents of the engines' prefix caches. Entries are placement hints and may be stale;
 * correctness does not depend on them.
 * @remarks A gap in an engine's events drops all its entries until its state is read again.
 */
export class PrefixCacheIndex {
  private readonly sequences = new Map<string, number>();

  /** Applies cache events; returns false when a gap or missing entries require a `resync`. */
  apply(engine: Engine, events: CacheEvents): boolean {
    const known = this.sequences.get(engine.id);
    if (known !== undefined && events.sequence <= known) return true;
    if (known === undefined || events.sequence !== known + 1) {
      this.drop(engine);
      return false;
    }
    this.sequences.set(engine.id, events.sequence);
    events.removed.forEach((prefix) => engine.prefixes.delete(prefix));
    events.added.forEach((prefix) => engine.prefixes.add(prefix));
    return true;
  }

  /** Replaces the entries with those of the engine's state, unless they are current already. */
  resync(engine: Engine, cache: EngineState['cache']): void {
    if (this.sequences.has(engine.id)) return;
    this.sequences.set(engine.id, cache.sequence);
    engine.prefixes.clear();
    cache.prefixes.forEach((prefix) => engine.prefixes.add(prefix));
  }

  /** Drops all entries of an engine; the next `resync` replaces them. */
  drop(engine: Engine): void {
    this.sequences.delete(engine.id);
    engine.prefixes.clear();
  }
}
