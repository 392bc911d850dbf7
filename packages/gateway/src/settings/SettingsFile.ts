import { readFile, stat } from 'node:fs/promises';
import { Subject } from 'rxjs';
import { z } from 'zod';
import type { Logger } from '@azurecart/telemetry';
import { gatewaySettingsSchema } from './GatewaySettings.js';
import type { GatewaySettings } from './GatewaySettings.js';
import { SettingsError } from './SettingsError.js';

/** Interval in milliseconds at which the modification time of the file is checked. */
const POLL_INTERVAL_MS = 1000;

/** A settings file that is reloaded while the process runs, by polling and on SIGHUP. */
export class SettingsFile {
  /** Emits the settings each time that their text has changed. */
  readonly changes = new Subject<GatewaySettings>();

  private timer: NodeJS.Timeout | undefined;

  private modifiedAtMs = 0;

  private text = '';

  constructor(private readonly path: string) {}

  /**
   * Loads the file.
   * @throws SettingsError describing each missing or invalid field.
   * @throws The error of the file system if the file cannot be read.
   */
  async load(): Promise<GatewaySettings> {
    this.modifiedAtMs = (await stat(this.path)).mtimeMs;
    this.text = await readFile(this.path, 'utf8');
    return parseSettings(this.text, this.path);
  }

  /** Starts watching for changes. {@link stop} ends the polling, but not the handling of SIGHUP. */
  watch(logger: Logger): void {
    const check = (isForced: boolean): void => {
      this.reloadIfChanged(isForced).catch((error: unknown) =>
        logger.warn({ err: error }, 'failed to reload settings'),
      );
    };
    this.timer = setInterval(() => check(false), POLL_INTERVAL_MS);
    this.timer.unref();
    process.on('SIGHUP', () => check(true));
  }

  /** Stops the polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async reloadIfChanged(isForced: boolean): Promise<void> {
    const { mtimeMs } = await stat(this.path);
    if (!isForced && mtimeMs === this.modifiedAtMs) return;
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
    throw new SettingsError(`${path}: ${detail}`);
  }
}
