/** Calls back when nothing has happened for a while. */
export class StallTimer {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly onStall: () => void) {}

  /** Starts to wait anew. */
  restart(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(this.onStall, ms);
  }

  stop(): void {
    clearTimeout(this.timer);
  }
}
