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

/** Milliseconds added to a cold time for rounding and for clocks of different speed. */
const COLD_MARGIN_MS = 100;
/** Extension of a known cold time in milliseconds from which an announcement has new content. */
const MIN_COLD_EXTENSION_MS = 200;
const DEFAULT_TOMBSTONE_TTL_MS = 60_000;
const DEFAULT_SILENCE_TIMEOUT_MS = 60_000;
/** About two intervals between the announcements of an upstream, in milliseconds. */
const DEFAULT_ASSUMED_COLD_MS = 2500;

/**
 * Table of upstreams by identity. The latest incarnation of an upstream wins. Within it the latest
 * state and the highest sequence number win independently of each other, because the process that
 * merges a departure may not have received all announcements. The result of merges therefore does
 * not depend on their order, unless several upstreams share an address.
 */
export class UpstreamTable {
  private readonly records = new Map<string, UpstreamRecord>();

  private evacuated: ReadonlySet<string> = new Set();

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
   * one kept on disk. It is removed after some time unless the upstream announces itself, and counts
   * as cold until then, since it may have started again.
   */
  remember(announcement: Announcement, maxAgeMs: number): MergeResult {
    if (announcement.state === 'gone') return this.merge(announcement);
    const { silenceTimeoutMs } = this;
    return this.merge({ ...announcement, coldMs: silenceTimeoutMs }, silenceTimeoutMs - maxAgeMs);
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

  /** Gets the milliseconds for which an upstream stays cold; 0 if it is warm or unknown. */
  getColdMs(id: string): number {
    const record = this.records.get(id);
    return record ? Math.max(0, getColdUntil(record) - this.options.now()) : 0;
  }

  /**
   * Treats upstreams as cold until each has announced itself again, for a time at most. To be called
   * when they may have become cold unseen, such as after an evacuation or a broken connection.
   */
  assumeCold(
    isAffected: (record: UpstreamRecord) => boolean,
    durationMs = DEFAULT_ASSUMED_COLD_MS,
  ): void {
    const until = this.options.now() + durationMs;
    for (const record of this.records.values())
      if (isAffected(record) && getColdUntil(record) < until)
        record.coldMs = until - record.lastSeenAt;
  }

  getUpstream(id: string): UpstreamRecord | undefined {
    return this.records.get(id);
  }

  /** Gets all records, including tombstones. */
  getRecords(): UpstreamRecord[] {
    return [...this.records.values()];
  }

  /**
   * Sets the data centres whose upstreams may get no new requests. Those of one that is taken back
   * may have become cold meanwhile.
   */
  setEvacuated(dataCentres: string[]): void {
    const previous = this.evacuated;
    this.evacuated = new Set(dataCentres);
    this.assumeCold(
      ({ dataCentre }) => previous.has(dataCentre) && !this.evacuated.has(dataCentre),
    );
  }

  /** Returns true if an upstream is known and may get new requests. */
  isOpen(id: string): boolean {
    const record = this.records.get(id);
    return record !== undefined && this.isReady(record);
  }

  /** Gets the upstreams of a service that may get new requests. */
  getReady(service: string): UpstreamRecord[] {
    return this.getRecords().filter((record) => record.service === service && this.isReady(record));
  }

  /**
   * Returns true if a service has upstreams that accept new requests, but all of them are in
   * evacuated data centres.
   */
  isEvacuated(service: string): boolean {
    if (this.evacuated.size === 0) return false;
    const accepting = this.getRecords().filter(
      (record) => record.service === service && record.state === 'ready',
    );
    return accepting.length > 0 && !accepting.some((record) => this.isReady(record));
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

  private isReady({ state, dataCentre }: UpstreamRecord): boolean {
    return state === 'ready' && !this.evacuated.has(dataCentre);
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

function hasSameContent(announcement: UpstreamRecord, known: UpstreamRecord): boolean {
  return (
    announcement.bornAt === known.bornAt &&
    announcement.state === known.state &&
    announcement.service === known.service &&
    announcement.address === known.address &&
    announcement.capacity === known.capacity &&
    announcement.dataCentre === known.dataCentre &&
    getColdUntil(announcement) <= getColdUntil(known) + MIN_COLD_EXTENSION_MS
  );
}

/** Gets the time at which a cold upstream is warm again; -Infinity for one that is warm. */
function getColdUntil({ coldMs = 0, lastSeenAt }: UpstreamRecord): number {
  return coldMs > 0 ? lastSeenAt + coldMs + COLD_MARGIN_MS : -Infinity;
}
