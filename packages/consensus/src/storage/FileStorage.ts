import { CorruptStorageError, StorageError } from '../errors/index.js';
import type { LogEntry } from '../log/index.js';
import type { Disk } from './Disk.js';
import { decodeEntry, encodeEntry } from './entryCodec.js';
import { decodeFrames, encodeFrame } from './frames.js';
import type { Ballot, Snapshot, Storage, StoredState } from './Storage.js';

const LOG_FILE = 'log';
const BALLOT_FILE = 'ballot';
const SNAPSHOT_FILE = 'snapshot';

/** Stores the ballot, the snapshot and the log in one checksummed file each. */
export class FileStorage implements Storage {
  private logBytes = 0;

  private hasWriteFailed = false;

  /** @param disk - Disk that holds the files; see {@link Disk} for the required durability. */
  constructor(private readonly disk: Disk) {}

  async load(): Promise<StoredState> {
    const snapshot = await this.loadSnapshot();
    const entries = await this.loadEntries();
    const entriesAfterSnapshot = entries.filter((entry) => entry.index > (snapshot?.index ?? 0));
    checkContiguous(entriesAfterSnapshot, snapshot?.index ?? 0);
    return { ballot: await this.loadBallot(), snapshot, entries: entriesAfterSnapshot };
  }

  async saveBallot(ballot: Ballot): Promise<void> {
    await this.write(() => this.disk.replace(BALLOT_FILE, encodeFrame(toJson(ballot))));
  }

  async append(entries: LogEntry[]): Promise<void> {
    const bytes = encodeEntries(entries);
    await this.write(() => this.disk.append(LOG_FILE, bytes));
    this.logBytes += bytes.length;
  }

  async replaceEntries(entries: LogEntry[]): Promise<void> {
    const bytes = encodeEntries(entries);
    await this.write(() => this.disk.replace(LOG_FILE, bytes));
    this.logBytes = bytes.length;
  }

  async saveSnapshot(snapshot: Snapshot): Promise<void> {
    const { state, ...metadata } = snapshot;
    const bytes = Buffer.concat([encodeFrame(toJson(metadata)), encodeFrame(state)]);
    await this.write(() => this.disk.replace(SNAPSHOT_FILE, bytes));
  }

  getLogBytes(): number {
    return this.logBytes;
  }

  async close(): Promise<void> {
    await this.disk.close();
  }

  private async write(operation: () => Promise<void>): Promise<void> {
    if (this.hasWriteFailed) throw new StorageError('an earlier write failed');
    try {
      await operation();
    } catch (error) {
      this.hasWriteFailed = true;
      throw new StorageError('write or sync failed', { cause: error });
    }
  }

  private async loadBallot(): Promise<Ballot> {
    const file = await this.disk.read(BALLOT_FILE);
    if (!file) return { term: 0, votedFor: undefined };
    const [payload] = decodeFrames(file, BALLOT_FILE).payloads;
    if (!payload) throw new CorruptStorageError(`${BALLOT_FILE}: file is truncated or damaged`);
    return JSON.parse(payload.toString()) as Ballot;
  }

  private async loadSnapshot(): Promise<Snapshot | undefined> {
    const file = await this.disk.read(SNAPSHOT_FILE);
    if (!file) return undefined;
    const [metadata, state] = decodeFrames(file, SNAPSHOT_FILE).payloads;
    if (!metadata || !state)
      throw new CorruptStorageError(`${SNAPSHOT_FILE}: file is truncated or damaged`);
    return { ...(JSON.parse(metadata.toString()) as Omit<Snapshot, 'state'>), state };
  }

  private async loadEntries(): Promise<LogEntry[]> {
    const file = await this.disk.read(LOG_FILE);
    if (!file) return [];
    const { payloads, intactBytes } = decodeFrames(file, LOG_FILE);
    if (intactBytes < file.length) {
      await this.write(() => this.disk.truncate(LOG_FILE, intactBytes));
    }
    this.logBytes = intactBytes;
    return payloads.map(decodeEntry);
  }
}

function toJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function encodeEntries(entries: LogEntry[]): Buffer {
  return Buffer.concat(entries.map((entry) => encodeFrame(encodeEntry(entry))));
}

function checkContiguous(entries: LogEntry[], base: number): void {
  entries.forEach((entry, position) => {
    if (entry.index === base + position + 1) return;
    throw new CorruptStorageError(
      `${LOG_FILE}: gap in the log: entry ${entry.index} follows entry ${base + position}`,
    );
  });
}
