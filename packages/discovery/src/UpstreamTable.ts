import { isNewer } from './Announcement.js';
import type { Announcement, UpstreamState } from './Announcement.js';

/** An announcement together with the time at which anyone last heard the upstream. */
export interface UpstreamRecord extends Announcement {
  /** Monotonic time in milliseconds, on the clock of the table's owner. */
  heardAt: number;
}

/** What a merge changed. */
export type MergeResult = 'changed' | 'refreshed' | 'ignored';

/** How long the table remembers. */
export interface UpstreamTableOptions {
  now: () => number;
  /** Milliseconds for which a tombstone outlives the departure. */
  tombstoneMs?: number;
  /** Milliseconds of silence after which an upstream is forgotten. */
  silenceMs?: number;
}

const TOMBSTONE_MS = 60_000;
const SILENCE_MS = 60_000;

/** Upstreams by identity. Merging is idempotent and independent of order. */
export class UpstreamTable {
  private readonly records = new Map<string, UpstreamRecord>();

  constructor(private readonly options: UpstreamTableOptions) {}

  /** Merges an announcement; only a newer one of its upstream counts. */
  merge(announcement: Announcement, ageMs = 0): MergeResult {
    const heardAt = this.options.now() - ageMs;
    const known = this.records.get(announcement.id);
    if (known && !isNewer(announcement, known)) {
      if (isSame(announcement, known)) known.heardAt = Math.max(known.heardAt, heardAt);
      return 'ignored';
    }
    if (this.isAddressTaken(announcement)) return 'ignored';
    const state = getNextState(announcement, known);
    this.records.set(announcement.id, { ...announcement, state, heardAt });
    if (state === 'ready') this.retireOthersAt(announcement);
    return known && isUnchanged({ ...announcement, state }, known) ? 'refreshed' : 'changed';
  }

  /** Marks an upstream as gone; it stays so until it is born anew. */
  markGone(id: string): UpstreamRecord | undefined {
    const known = this.records.get(id);
    if (!known || known.state === 'gone') return undefined;
    known.state = 'gone';
    known.heardAt = this.options.now();
    return known;
  }

  getUpstream(id: string): UpstreamRecord | undefined {
    return this.records.get(id);
  }

  /** Gets all records, tombstones included. */
  getRecords(): UpstreamRecord[] {
    return [...this.records.values()];
  }

  /** Gets the upstreams of a service that take new work. */
  getReady(service: string): UpstreamRecord[] {
    return this.getRecords().filter(
      (record) => record.state === 'ready' && record.service === service,
    );
  }

  /** Forgets old tombstones and upstreams that have been silent for long. */
  sweep(): void {
    const now = this.options.now();
    const { tombstoneMs = TOMBSTONE_MS, silenceMs = SILENCE_MS } = this.options;
    for (const [id, record] of this.records) {
      const limit = record.state === 'gone' ? tombstoneMs : silenceMs;
      if (now - record.heardAt > limit) this.records.delete(id);
    }
  }

  /** True when a younger upstream has the address: the announcement was delayed on its way. */
  private isAddressTaken(announcement: Announcement): boolean {
    if (announcement.state === 'gone') return false;
    return this.getRecords().some(
      (record) =>
        record.id !== announcement.id &&
        record.state !== 'gone' &&
        record.address === announcement.address &&
        record.bornAt > announcement.bornAt,
    );
  }

  /** An address belongs to one upstream at a time; an older holder has ended. */
  private retireOthersAt(announcement: Announcement): void {
    for (const record of this.records.values()) {
      const isOther = record.id !== announcement.id && record.address === announcement.address;
      if (isOther && record.bornAt < announcement.bornAt) record.state = 'gone';
    }
  }
}

/** Within one incarnation an upstream never goes back from draining or gone. */
function getNextState(
  announcement: Announcement,
  known: UpstreamRecord | undefined,
): UpstreamState {
  if (!known || known.bornAt !== announcement.bornAt) return announcement.state;
  if (known.state === 'gone') return 'gone';
  if (known.state === 'draining' && announcement.state === 'ready') return 'draining';
  return announcement.state;
}

function isSame(announcement: Announcement, known: UpstreamRecord): boolean {
  return announcement.bornAt === known.bornAt && announcement.sequence === known.sequence;
}

function isUnchanged(announcement: Announcement, known: UpstreamRecord): boolean {
  return (
    announcement.bornAt === known.bornAt &&
    announcement.state === known.state &&
    announcement.service === known.service &&
    announcement.address === known.address &&
    announcement.capacity === known.capacity &&
    announcement.dataCentre === known.dataCentre
  );
}
