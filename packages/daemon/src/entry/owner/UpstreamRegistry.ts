import type { Announcement, Departure } from '@azurecart/protocol';

/** An upstream that has announced itself and has not left. */
export interface Upstream {
  announcement: Announcement;
  /** Monotonic time of the last announcement. */
  heardAt: number;
}

interface Tombstone {
  incarnation: string;
  sequence: number;
  leftAt: number;
}

/** What a registry is made of. */
export interface UpstreamRegistryOptions {
  ttlMs: number;
  now: () => number;
}

/** Time for which a delayed announcement of an upstream that left is refused. */
const TOMBSTONE_MS = 600_000;

/**
 * The upstreams of one shard.
 * @remarks Announcements come late, twice and out of order: within an incarnation only higher
 * sequence numbers count, and one that has left stays away until it starts anew.
 */
export class UpstreamRegistry {
  private readonly upstreams = new Map<string, Upstream>();

  private readonly tombstones = new Map<string, Tombstone>();

  constructor(private readonly options: UpstreamRegistryOptions) {}

  /** Takes an announcement; gets false when it is an old one. */
  announce(announcement: Announcement): boolean {
    const { id, incarnation, sequence } = announcement;
    if (this.tombstones.get(id)?.incarnation === incarnation) return false;
    const known = this.upstreams.get(id)?.announcement;
    if (known?.incarnation === incarnation && known.sequence >= sequence) return false;
    this.upstreams.set(id, { announcement, heardAt: this.options.now() });
    return true;
  }

  /** Takes a departure; gets false when the upstream has started anew since. */
  leave(departure: Departure): boolean {
    const { id, incarnation, sequence } = departure;
    const known = this.upstreams.get(id)?.announcement;
    if (known && known.incarnation !== incarnation) return false;
    this.tombstones.set(id, { incarnation, sequence, leftAt: this.options.now() });
    this.upstreams.delete(id);
    return true;
  }

  /** Removes the upstreams that have been silent for too long, and gets them. */
  takeSilent(): Upstream[] {
    const { now, ttlMs } = this.options;
    const silent = this.getAll().filter((upstream) => now() - upstream.heardAt > ttlMs);
    silent.forEach((upstream) => this.upstreams.delete(upstream.announcement.id));
    this.forgetTombstones();
    return silent;
  }

  getUpstream(id: string): Upstream | undefined {
    return this.upstreams.get(id);
  }

  getAll(): Upstream[] {
    return [...this.upstreams.values()];
  }

  private forgetTombstones(): void {
    const before = this.options.now() - TOMBSTONE_MS;
    for (const [id, tombstone] of this.tombstones) {
      if (tombstone.leftAt < before) this.tombstones.delete(id);
    }
  }
}
