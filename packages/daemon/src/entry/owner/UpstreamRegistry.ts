import type { Announcement, Departure } from '@azurecart/protocol';

/** An upstream that has announced itself and has not left. */
export interface Upstream {
  announcement: Announcement;
  /** Monotonic time of the last announcement. */
  lastAnnouncedAt: number;
}

interface Tombstone {
  incarnation: string;
  /** Recorded but not compared: all announcements of the incarnation are rejected. */
  sequence: number;
  departedAt: number;
}

export interface UpstreamRegistryOptions {
  ttlMs: number;
  now: () => number;
}

/** Time for which delayed announcements from an incarnation that left are rejected. */
const TOMBSTONE_TTL_MS = 600_000;

/**
 * Registry of the upstreams of one shard.
 * @remarks Announcements may be delayed, duplicated or reordered. Within an incarnation only
 * increasing sequence numbers are accepted, and an upstream that has left is accepted again only
 * as a new incarnation. Incarnations are not ordered: a delayed announcement of an earlier one that
 * did not leave replaces the current one until that announces itself again.
 */
export class UpstreamRegistry {
  private readonly upstreams = new Map<string, Upstream>();

  private readonly tombstones = new Map<string, Tombstone>();

  constructor(private readonly options: UpstreamRegistryOptions) {}

  /** Registers an announcement; returns false when it is outdated. */
  announce(announcement: Announcement): boolean {
    const { id, incarnation, sequence } = announcement;
    if (this.tombstones.get(id)?.incarnation === incarnation) return false;
    const known = this.upstreams.get(id)?.announcement;
    if (known?.incarnation === incarnation && known.sequence >= sequence) return false;
    this.upstreams.set(id, { announcement, lastAnnouncedAt: this.options.now() });
    return true;
  }

  /** Removes an upstream that left; returns false when another incarnation is registered. */
  leave(departure: Departure): boolean {
    const { id, incarnation, sequence } = departure;
    const known = this.upstreams.get(id)?.announcement;
    if (known && known.incarnation !== incarnation) return false;
    this.tombstones.set(id, { incarnation, sequence, departedAt: this.options.now() });
    this.upstreams.delete(id);
    return true;
  }

  /** Removes and returns the upstreams whose last announcement is older than the TTL. */
  removeSilent(): Upstream[] {
    const { now, ttlMs } = this.options;
    const silent = this.getAll().filter((upstream) => now() - upstream.lastAnnouncedAt > ttlMs);
    silent.forEach((upstream) => this.upstreams.delete(upstream.announcement.id));
    this.removeExpiredTombstones();
    return silent;
  }

  getUpstream(id: string): Upstream | undefined {
    return this.upstreams.get(id);
  }

  getAll(): Upstream[] {
    return [...this.upstreams.values()];
  }

  private removeExpiredTombstones(): void {
    const before = this.options.now() - TOMBSTONE_TTL_MS;
    for (const [id, tombstone] of this.tombstones) {
      if (tombstone.departedAt < before) this.tombstones.delete(id);
    }
  }
}
