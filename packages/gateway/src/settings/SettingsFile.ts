import { readFile, stat } from 'node:fs/promises';
import { Subject } from 'rxjs';
import { z } from 'zod';
import type { Logger } from '@azurecart/telemetry';
import { gatewaySettingsSchema } from './GatewaySettings.js';
import type { GatewaySettings } from './GatewaySettings.js';
import { SettingsFault } from './SettingsFault.js';

/** Milliseconds between two looks at the file's time of change. */
const POLL_MS = 1000;

/** A settings file that may change while the process runs, with or without a signal. */
export class SettingsFile {
  readonly changes = new Subject<GatewaySettings>();

  private timer: NodeJS.Timeout | undefined;

  private changedAt = 0;

  private text = '';

  constructor(private readonly path: string) {}

  /**
   * Loads the file.
   * @throws SettingsFault naming each field that is missing or wrong.
   */
  async load(): Promise<GatewaySettings> {
    this.changedAt = (await stat(this.path)).mtimeMs;
    this.text = await readFile(this.path, 'utf8');
    return parseSettings(this.text, this.path);
  }

  /** Looks for changes until stopped. */
  watch(logger: Logger): void {
    const check = (isForced: boolean): void => {
      this.check(isForced).catch((error: unknown) =>
        logger.warn({ err: error }, 'settings not reloaded'),
      );
    };
    this.timer = setInterval(() => check(false), POLL_MS);
    this.timer.unref();
    process.on('SIGHUP', () => check(true));
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async check(isForced: boolean): Promise<void> {
    const { mtimeMs } = await stat(this.path);
    if (!isForced && mtimeMs === this.changedAt) return;
    const { text } = this;
    const settings = await this.load();
    if (this.text !== text) this.changes.next(settings);
  }
}

function parseSettings(text: string, path: string): GatewaySettings {
  try {
    return gatewaySettingsSchema.parse(JSON.parse(text));
  } catch (error) {
    const detail = error instanceof z.ZodError ? z.prettifyError(error) : String(error);
    throw new SettingsFault(`${path}: ${detail}`);
  }
}
