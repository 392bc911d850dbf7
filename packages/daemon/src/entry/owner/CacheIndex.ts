import type { Engine } from '@azurecart/scheduling';
import type { CacheEvents, EngineState } from '@azurecart/protocol';

/**
 * What the engines' prefix caches are believed to hold. A hint, never needed for correctness.
 * @remarks A gap in an engine's events drops all its entries until its state is read again.
 */
export class CacheIndex {
  private readonly sequences = new Map<string, number>();

  /** Takes events; gets false when a gap made the engine's entries useless. */
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

  /** Takes over the engine's own list when entries were dropped or are new. */
  resync(engine: Engine, cache: EngineState['cache']): void {
    if (this.sequences.has(engine.id)) return;
    this.sequences.set(engine.id, cache.sequence);
    engine.prefixes.clear();
    cache.prefixes.forEach((prefix) => engine.prefixes.add(prefix));
  }

  /** Drops all entries of an engine. */
  drop(engine: Engine): void {
    this.sequences.delete(engine.id);
    engine.prefixes.clear();
  }
}
