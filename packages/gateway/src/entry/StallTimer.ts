/** Interval in milliseconds between two calls while the first one has not been handled. */
const REPEAT_MS = 500;

/** Calls back when it is neither restarted nor stopped for a given time, until that is handled. */
export class StallTimer {
  private timer: NodeJS.Timeout | undefined;

  /** @param onStall - Resolves with false if it is to be called again. */
  constructor(private readonly onStall: () => Promise<boolean>) {}

  restart(ms: number): void {
    clearTimeout(this.timer);
    const timer = setTimeout(async () => {
      const isHandled = await this.onStall();
      if (!isHandled && this.timer === timer) this.restart(Math.min(ms, REPEAT_MS));
    }, ms);
    this.timer = timer;
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
