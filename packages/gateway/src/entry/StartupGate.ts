import { setTimeout as sleep } from 'node:timers/promises';

/** Limits on the waiting of requests right after the start of the process. */
export interface StartupGateOptions {
  /** Milliseconds after the start during which requests may wait. */
  windowMs?: number;
  /** Maximum number of requests that wait at the same time. */
  maxWaiting?: number;
  now?: () => number;
}

/** Time in ms in which control processes started at the same time elect a leader and respond. */
const STARTUP_WINDOW_MS = 1500;
const MAX_WAITING = 200;
const POLL_INTERVAL_MS = 10;

/**
 * Lets requests that arrive right after the start of the process wait for the configuration and the
 * upstreams. Later requests fail immediately if these are missing, because it is unknown when they
 * become available.
 */
export class StartupGate {
  private readonly windowEndsAt: number;

  private readonly now: () => number;

  private waitingCount = 0;

  constructor(private readonly options: StartupGateOptions = {}) {
    this.now = options.now ?? (() => performance.now());
    this.windowEndsAt = this.now() + (options.windowMs ?? STARTUP_WINDOW_MS);
  }

  /**
   * Polls for a value.
   * @returns Undefined if there is still none when the startup window ends or the signal aborts, or
   * at the first poll if the window is over or too many requests wait.
   */
  async wait<T>(get: () => T | undefined, signal: AbortSignal): Promise<T | undefined> {
    let value = get();
    if (value !== undefined || this.waitingCount >= (this.options.maxWaiting ?? MAX_WAITING))
      return value;
    this.waitingCount += 1;
    try {
      while (value === undefined && this.now() < this.windowEndsAt && !signal.aborted) {
        await sleep(POLL_INTERVAL_MS);
        value = get();
      }
      return value;
    } finally {
      this.waitingCount -= 1;
    }
  }
}
