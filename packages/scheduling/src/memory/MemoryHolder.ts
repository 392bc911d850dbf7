export interface MemoryHolderOptions {
  /** Takes bytes of the budget; false if too few are free. */
  take: (bytes: number) => boolean;
  /** Returns whether memory will become free while this holder waits. */
  canWait: () => boolean;
  onWait: () => void;
  onWaitEnd: () => void;
  onRelease: (bytes: number) => void;
}

interface PendingGrowth {
  bytes: number;
  resolve: (isGranted: boolean) => void;
}

/** One holder of memory of a budget, such as the body of a request. */
export class MemoryHolder {
  private heldBytes = 0;

  private pending: PendingGrowth | undefined;

  private isReleased = false;

  constructor(private readonly options: MemoryHolderOptions) {}

  get bytes(): number {
    return this.heldBytes;
  }

  /** Takes bytes if they are free now. */
  tryGrow(bytes: number): boolean {
    if (this.isReleased) return false;
    if (bytes > 0 && !this.options.take(bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  /**
   * Waits until bytes are free and takes them.
   * @returns False if the signal is aborted or the holder is released before, or if all others that
   * have memory wait as well.
   */
  async grow(bytes: number, signal: AbortSignal): Promise<boolean> {
    if (this.isReleased || signal.aborted) return false;
    if (this.tryGrow(bytes)) return true;
    if (!this.options.canWait()) return false;
    const stop = (): void => this.settle(false);
    signal.addEventListener('abort', stop, { once: true });
    try {
      return await new Promise<boolean>((resolve) => {
        this.pending = { bytes, resolve };
        this.options.onWait();
      });
    } finally {
      signal.removeEventListener('abort', stop);
    }
  }

  /** Tries again to take the bytes that are waited for; false if the wait goes on. */
  retry(): boolean {
    if (!this.pending || !this.tryGrow(this.pending.bytes)) return false;
    this.settle(true);
    return true;
  }

  /** Gives all bytes back; may be called more than once. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.settle(false);
    const bytes = this.heldBytes;
    this.heldBytes = 0;
    this.options.onRelease(bytes);
  }

  private settle(isGranted: boolean): void {
    const { pending } = this;
    if (!pending) return;
    this.pending = undefined;
    this.options.onWaitEnd();
    pending.resolve(isGranted);
  }
}
