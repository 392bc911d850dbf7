import { isLaterState } from './Announcement.js';
import type { Announcement } from './Announcement.js';

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
  /** The record is new or has new content, or was about to be removed. */
  | 'changed'
  /** Only the sequence number and the time of the record are new. */
  | 'refreshed'
  /**
   * The announcement has neither a later incarnation, nor a later state or a higher sequence number
   * in the known one, or its address belongs to an upstream that started later. A copy of the known
   * announcement may still have updated the time of the record.
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
 * Table of upstreams by identity. The latest incarnation of an upstream wins. Within it the latest
 * state and the highest sequence number win independently of each other, because the process that
 * merges a departure may not have received all announcements. The result of merges therefore does
 * not depend on their order, unless several upstreams share an address.
 */
export class UpstreamTable {
  private readonly records = new Map<string, UpstreamRecord>();

  constructor(private readonly options: UpstreamTableOptions) {}

  /**
   * Merges an announcement, or a record of another table.
   * @param ageMs - Milliseconds since the announcement was received from the upstream.
   */
  merge(announcement: Announcement, ageMs = 0): MergeResult {
    const received = { ...announcement, lastSeenAt: this.options.now() - ageMs };
    const known = this.records.get(announcement.id);
    if (known && known.bornAt > announcement.bornAt) return 'ignored';
    if (this.isAddressHeldByNewer(announcement)) return 'ignored';
    const record = known?.bornAt === announcement.bornAt ? combine(known, received) : received;
    this.records.set(announcement.id, record);
    if (record.state === 'ready') this.markPredecessorsGone(record);
    if (!known || !hasSameContent(record, known) || this.isRenewed(record, known)) return 'changed';
    return record.sequence > known.sequence ? 'refreshed' : 'ignored';
  }

  /**
   * Merges the record of an upstream of which no process can tell whether it still exists, such as
   * one kept on disk. It is removed after some time unless the upstream announces itself.
   */
  remember(announcement: Announcement, maxAgeMs: number): MergeResult {
    const isGone = announcement.state === 'gone';
    return this.merge(announcement, isGone ? 0 : this.silenceTimeoutMs - maxAgeMs);
  }

  /** Milliseconds until the record of an upstream that announces itself no more is removed. */
  getRemainingMs({ lastSeenAt }: UpstreamRecord): number {
    return lastSeenAt + this.silenceTimeoutMs - this.options.now();
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

  /**
   * Marks an incarnation of an upstream as draining; announcements of it do not revert that.
   * @returns The record; undefined if the incarnation is not the known one, or not ready any more.
   */
  markDraining(id: string, bornAt: number): UpstreamRecord | undefined {
    const known = this.records.get(id);
    if (known?.bornAt !== bornAt || known.state !== 'ready') return undefined;
    known.state = 'draining';
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
    const { tombstoneTtlMs = DEFAULT_TOMBSTONE_TTL_MS } = this.options;
    for (const [id, record] of this.records) {
      const limit = record.state === 'gone' ? tombstoneTtlMs : this.silenceTimeoutMs;
      if (now - record.lastSeenAt > limit) this.records.delete(id);
    }
  }

  private get silenceTimeoutMs(): number {
    return this.options.silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS;
  }

  /** Whether others that know the record might remove it soon. */
  private isRenewed(record: UpstreamRecord, known: UpstreamRecord): boolean {
    return record.lastSeenAt - known.lastSeenAt > this.silenceTimeoutMs / 2;
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

/** Combines a known record with a received one of the same incarnation. */
function combine(known: UpstreamRecord, received: UpstreamRecord): UpstreamRecord {
  const latest = received.sequence > known.sequence ? received : known;
  const isStateLater = isLaterState(received.state, known.state);
  const isOutdated = received.sequence < known.sequence && !isStateLater;
  return {
    ...latest,
    state: isStateLater ? received.state : known.state,
    lastSeenAt: isOutdated ? known.lastSeenAt : Math.max(known.lastSeenAt, received.lastSeenAt),
  };
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
