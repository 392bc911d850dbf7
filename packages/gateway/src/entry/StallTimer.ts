/** Calls back when it is neither restarted nor stopped for a given time. */
export class StallTimer {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly onStall: () => void) {}

  restart(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(this.onStall, ms);
  }

  stop(): void {
    clearTimeout(this.timer);
  }
}
