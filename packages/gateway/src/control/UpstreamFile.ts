import { z } from 'zod';
import type { Disk } from '@azurecart/consensus';
import type { UpstreamRecord, UpstreamTable } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';

/** Options of an {@link UpstreamFile}. */
export interface UpstreamFileOptions {
  disk: Disk;
  table: UpstreamTable;
  logger: Logger;
  /** Milliseconds for which stored upstreams are used without an announcement. */
  trustMs?: number;
}

const fileSchema = z.object({
  upstreams: z.array(
    // Fields of later versions are kept.
    z.looseObject({
      id: z.string(),
      bornAt: z.number(),
      sequence: z.number(),
      service: z.string(),
      address: z.string(),
      dataCentre: z.string(),
      capacity: z.number(),
      state: z.enum(['ready', 'draining', 'gone']),
    }),
  ),
});

const FILE = 'upstreams';
/** Time in which upstreams that exist announce themselves, some of them at the second attempt. */
const TRUST_MS = 3000;

/**
 * Keeps the upstreams on disk. After a restart of all processes, requests are served by those last
 * known, instead of waiting for the next announcement of each.
 * @remarks A stored upstream may have left meanwhile, so it is used for a short time only and only by
 * processes that have just started. One at whose address another upstream listens now refuses
 * requests, as these name the upstream that they are for.
 */
export class UpstreamFile {
  private readonly trustMs: number;

  private writing: Promise<void> = Promise.resolve();

  private savedText = '';

  constructor(private readonly options: UpstreamFileOptions) {
    this.trustMs = options.trustMs ?? TRUST_MS;
  }

  /** Adds the stored upstreams to the table; a file that cannot be read is logged and ignored. */
  async load(): Promise<void> {
    const { disk, table, logger } = this.options;
    try {
      const bytes = await disk.read(FILE);
      if (!bytes) return;
      const { upstreams } = fileSchema.parse(JSON.parse(bytes.toString()));
      upstreams.forEach((upstream) => table.remember(upstream, this.trustMs));
      logger.info({ upstreams: upstreams.length }, 'stored upstreams loaded');
    } catch (error) {
      logger.warn({ err: error }, 'stored upstreams could not be read, ignored');
    }
  }

  /** Whether a record may only be known from the disk. */
  isUnconfirmed(record: UpstreamRecord): boolean {
    return record.state !== 'gone' && this.options.table.getRemainingMs(record) <= this.trustMs;
  }

  /** Saves the table if upstreams have changed. Resolves after the write, also if it fails. */
  save(): Promise<void> {
    this.writing = this.writing.then(() => this.write());
    return this.writing;
  }

  private async write(): Promise<void> {
    const { disk, table, logger } = this.options;
    const upstreams = table.getRecords().map(({ lastSeenAt, ...announcement }) => announcement);
    const text = JSON.stringify(upstreams.map((upstream) => ({ ...upstream, sequence: 0 })));
    if (text === this.savedText) return;
    try {
      await disk.replace(FILE, Buffer.from(JSON.stringify({ upstreams })));
      this.savedText = text;
    } catch (error) {
      logger.warn({ err: error }, 'upstreams could not be saved, next change tries again');
    }
  }
}
