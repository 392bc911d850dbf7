import type { Logger } from '@azurecart/telemetry';

/** Options of a {@link RefusalLog}. */
export interface RefusalLogOptions {
  logger: Pick<Logger, 'info'>;
  /** Lines for single requests in each interval. */
  maxLines?: number;
  intervalMs?: number;
}

/** A request that was refused before any attempt. */
export interface Refusal {
  request: string | undefined;
  status: number;
  reason: string;
}

const MAX_LINES = 50;
const INTERVAL_MS = 1000;

/** Logs refused requests: the first ones of an interval in a line each, the others as counts. */
export class RefusalLog {
  private lineCount = 0;

  private suppressed: Record<string, number> = {};

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RefusalLogOptions) {}

  record(refusal: Refusal): void {
    const { logger, maxLines = MAX_LINES, intervalMs = INTERVAL_MS } = this.options;
    this.timer ??= setTimeout(() => this.endInterval(), intervalMs).unref();
    if (this.lineCount < maxLines) {
      this.lineCount += 1;
      logger.info(refusal, 'request refused');
    } else this.suppressed[refusal.status] = (this.suppressed[refusal.status] ?? 0) + 1;
  }

  private endInterval(): void {
    this.timer = undefined;
    this.lineCount = 0;
    if (Object.keys(this.suppressed).length === 0) return;
    this.options.logger.info({ statuses: this.suppressed }, 'further requests refused');
    this.suppressed = {};
  }
}
