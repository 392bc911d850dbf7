import { z } from 'zod';
import type { Disk } from '@azurecart/consensus';
import type { Logger } from '@azurecart/telemetry';
import type { Findings } from './Findings.js';

/** Options of a {@link FindingsFile}. */
export interface FindingsFileOptions {
  disk: Disk;
  findings: Findings;
  logger: Logger;
  /** Gets the Unix time in milliseconds, which goes on while the process is down. */
  now?: () => number;
}

const crashSchema = z.object({ engine: z.string(), ageMs: z.number(), sentAgeMs: z.number() });
const fileSchema = z.object({
  /** Unix time in milliseconds at which the ages were taken. */
  savedAt: z.number(),
  parts: z.array(
    z.object({
      part: z.string(),
      crashes: z.array(crashSchema),
      answeredAgeMs: z.number().optional(),
    }),
  ),
});

const FILE = 'findings';

/**
 * Keeps the evidence against quarantined prompt parts on disk. Without it, a restart of all
 * processes at once would cost as many engines as the parts had ended before.
 */
export class FindingsFile {
  private saving: Promise<void> = Promise.resolve();

  private savedKey = '';

  constructor(private readonly options: FindingsFileOptions) {}

  /** Merges the stored evidence; a file that cannot be read is logged and ignored. */
  async load(): Promise<void> {
    const { disk, findings, logger, now = Date.now } = this.options;
    try {
      const bytes = await disk.read(FILE);
      if (!bytes) return;
      const { savedAt, parts } = fileSchema.parse(JSON.parse(bytes.toString()));
      // The clock may have been set back.
      const downMs = Math.max(0, now() - savedAt);
      const evidence = parts.map(({ part, crashes, answeredAgeMs }) => ({
        part,
        crashes: crashes.map(({ engine, ageMs, sentAgeMs }) => ({
          engine,
          ageMs: ageMs + downMs,
          sentAgeMs: sentAgeMs + downMs,
        })),
        answeredAgeMs: answeredAgeMs === undefined ? undefined : answeredAgeMs + downMs,
      }));
      findings.merge({ parts: evidence, limits: [] });
    } catch (error) {
      logger.warn({ err: error }, 'stored findings could not be read, ignored');
    }
  }

  /** Saves the evidence if it has changed. Resolves after the write, also if it fails. */
  save(): Promise<void> {
    this.saving = this.saving.then(() => this.write());
    return this.saving;
  }

  private async write(): Promise<void> {
    const { disk, findings, logger, now = Date.now } = this.options;
    const parts = findings.poison.getQuarantined();
    const key = JSON.stringify(parts.map(({ part, crashes }) => [part, crashes.length]));
    if (key === this.savedKey || (parts.length === 0 && this.savedKey === '')) return;
    try {
      await disk.replace(FILE, Buffer.from(JSON.stringify({ savedAt: now(), parts })));
      this.savedKey = key;
    } catch (error) {
      logger.warn({ err: error }, 'findings could not be saved, next change tries again');
    }
  }
}
