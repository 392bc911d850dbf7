/** Calls back each time that it is neither restarted nor stopped for a given time. */
export class StallTimer {
  private timer: NodeJS.Timeout | undefined;

  /** @param onStall - Resolves with false if it is to be called again after the same time. */
  constructor(private readonly onStall: () => Promise<boolean>) {}

  restart(ms: number): void {
    clearTimeout(this.timer);
    const timer = setTimeout(async () => {
      const isHandled = await this.onStall();
      if (!isHandled && this.timer === timer) this.restart(ms);
    }, ms);
    this.timer = timer;
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
