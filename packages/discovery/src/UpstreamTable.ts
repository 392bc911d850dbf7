import { isNewer } from './Announcement.js';
import type { Announcement, UpstreamState } from './Announcement.js';

/** An announcement and the time at which any process last received it from the upstream. */
export interface UpstreamRecord extends Announcement {
  /**
   * Time of the last announcement in milliseconds, on the clock passed to the table. For an
   * upstream marked as gone by {@link UpstreamTable.markGone}, the time of that call; for one
   * replaced by a later upstream at its address, still the time of its last announcement.
   */
  lastSeenAt: number;
}

/** Result of a merge. */
export type MergeResult =
  /** The record is new or has new content. */
  | 'changed'
  /** Only the sequence number and the time of the record are new. */
  | 'refreshed'
  /**
   * The announcement was not newer by incarnation and sequence number, or its address belongs to an
   * upstream that started later. A copy of the known announcement may still have updated the time
   * of the record.
   */
  | 'ignored';

/** Clock and retention periods of an UpstreamTable. */
export interface UpstreamTableOptions {
  now: () => number;
  /** Milliseconds since `lastSeenAt` after which a `gone` record (tombstone) is removed. */
  tombstoneTtlMs?: number;
  /** Milliseconds without an announcement after which an upstream is removed. */
  silenceTimeoutMs?: number;
}

const DEFAULT_TOMBSTONE_TTL_MS = 60_000;
const DEFAULT_SILENCE_TIMEOUT_MS = 60_000;

/**
 * Table of upstreams by identity. Merging an announcement twice does not change its content, and
 * the highest incarnation and sequence number of an upstream win in any order of arrival, unless
 * another upstream holds the address. The state may depend on the order: a late `draining` is
 * ignored if a newer `ready` of the same incarnation was merged first.
 */
export class UpstreamTable {
  private readonly records = new Map<string, UpstreamRecord>();

  constructor(private readonly options: UpstreamTableOptions) {}

  /**
   * Merges an announcement if it is newer than the known one of its upstream. A `gone` record with
   * the known sequence number, as {@link markGone} leaves it, is not newer and is therefore
   * ignored.
   * @param ageMs - Milliseconds since the announcement was received from the upstream.
   */
  merge(announcement: Announcement, ageMs = 0): MergeResult {
    const lastSeenAt = this.options.now() - ageMs;
    const known = this.records.get(announcement.id);
    if (known && !isNewer(announcement, known)) {
      if (isSameAnnouncement(announcement, known))
        known.lastSeenAt = Math.max(known.lastSeenAt, lastSeenAt);
      return 'ignored';
    }
    if (this.isAddressHeldByNewer(announcement)) return 'ignored';
    const state = getNextState(announcement, known);
    this.records.set(announcement.id, { ...announcement, state, lastSeenAt });
    if (state === 'ready') this.markPredecessorsGone(announcement);
    return known && hasSameContent({ ...announcement, state }, known) ? 'refreshed' : 'changed';
  }

  /**
   * Marks an upstream as gone until it announces a new incarnation.
   * @returns The record; undefined if the upstream is unknown or already gone.
   */
  markGone(id: string): UpstreamRecord | undefined {
    const known = this.records.get(id);
    if (!known || known.state === 'gone') return undefined;
    known.state = 'gone';
    known.lastSeenAt = this.options.now();
    return known;
  }

  getUpstream(id: string): UpstreamRecord | undefined {
    return this.records.get(id);
  }

  /** Gets all records, including tombstones. */
  getRecords(): UpstreamRecord[] {
    return [...this.records.values()];
  }

  /** Gets the upstreams of a service that accept new requests. */
  getReady(service: string): UpstreamRecord[] {
    return this.getRecords().filter(
      (record) => record.state === 'ready' && record.service === service,
    );
  }

  /** Removes expired tombstones and upstreams whose announcements have stopped. */
  removeExpired(): void {
    const now = this.options.now();
    const {
      tombstoneTtlMs = DEFAULT_TOMBSTONE_TTL_MS,
      silenceTimeoutMs = DEFAULT_SILENCE_TIMEOUT_MS,
    } = this.options;
    for (const [id, record] of this.records) {
      const limit = record.state === 'gone' ? tombstoneTtlMs : silenceTimeoutMs;
      if (now - record.lastSeenAt > limit) this.records.delete(id);
    }
  }

  /** Whether an upstream that started later has the address, so the announcement is outdated. */
  private isAddressHeldByNewer(announcement: Announcement): boolean {
    if (announcement.state === 'gone') return false;
    return this.getRecords().some(
      (record) =>
        record.id !== announcement.id &&
        record.state !== 'gone' &&
        record.address === announcement.address &&
        record.bornAt > announcement.bornAt,
    );
  }

  /**
   * Marks upstreams that started earlier at the same address as gone. An address belongs to one
   * upstream at a time, so they must have exited.
   */
  private markPredecessorsGone(announcement: Announcement): void {
    for (const record of this.records.values()) {
      const isOther = record.id !== announcement.id && record.address === announcement.address;
      if (isOther && record.bornAt < announcement.bornAt) record.state = 'gone';
    }
  }
}

/** Within an incarnation, `draining` never returns to `ready`, and `gone` is final. */
function getNextState(
  announcement: Announcement,
  known: UpstreamRecord | undefined,
): UpstreamState {
  if (!known || known.bornAt !== announcement.bornAt) return announcement.state;
  if (known.state === 'gone') return 'gone';
  if (known.state === 'draining' && announcement.state === 'ready') return 'draining';
  return announcement.state;
}

function isSameAnnouncement(announcement: Announcement, known: UpstreamRecord): boolean {
  return announcement.bornAt === known.bornAt && announcement.sequence === known.sequence;
}

function hasSameContent(announcement: Announcement, known: UpstreamRecord): boolean {
  return (
    announcement.bornAt === known.bornAt &&
    announcement.state === known.state &&
    announcement.service === known.service &&
    announcement.address === known.address &&
    announcement.capacity === known.capacity &&
    announcement.dataCentre === known.dataCentre
  );
}
