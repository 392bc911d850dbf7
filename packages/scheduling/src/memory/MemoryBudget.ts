import { MemoryHolder } from './MemoryHolder.js';

export interface MemoryBudgetOptions {
  /** Bytes that all holders together may have. */
  maxBytes: number;
}

/** Size in bytes up to which a holder counts as small. */
export const SMALL_HOLDER_BYTES = 64 * 1024;
/** Share of the memory that only small holders may use. */
const SMALL_HOLDER_SHARE = 1 / 8;

/**
 * Limits the memory that a process holds for others, such as bodies that arrive. Holders wait in
 * turn while there is none; small ones have a share of their own, so that they do not wait for
 * large ones.
 */
export class MemoryBudget {
  private readonly holders = new Set<MemoryHolder>();

  private readonly waiting = new Set<MemoryHolder>();

  private heldBytes = 0;

  constructor(private readonly options: MemoryBudgetOptions) {}

  /** Bytes held at the moment. */
  get usedBytes(): number {
    return this.heldBytes;
  }

  /** Number of holders that wait for memory. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Adds a holder without memory. */
  open(): MemoryHolder {
    const holder: MemoryHolder = new MemoryHolder({
      take: (bytes) => this.take(holder, bytes),
      canWait: () => this.hasRunning(holder),
      onWait: () => this.waiting.add(holder),
      onWaitEnd: () => this.waiting.delete(holder),
      onRelease: (bytes) => this.remove(holder, bytes),
    });
    this.holders.add(holder);
    return holder;
  }

  private take(holder: MemoryHolder, bytes: number): boolean {
    const { maxBytes } = this.options;
    const isSmall = holder.bytes + bytes <= SMALL_HOLDER_BYTES;
    const [next] = this.waiting;
    // Large holders are served in turn.
    if (!isSmall && next !== undefined && next !== holder) return false;
    const limit = isSmall ? maxBytes : maxBytes * (1 - SMALL_HOLDER_SHARE);
    if (this.heldBytes + bytes > limit) return false;
    this.heldBytes += bytes;
    return true;
  }

  /** Returns whether another holder has memory and does not wait, so that it will release some. */
  private hasRunning(holder: MemoryHolder): boolean {
    for (const other of this.holders)
      if (other !== holder && other.bytes > 0 && !this.waiting.has(other)) return true;
    return false;
  }

  private remove(holder: MemoryHolder, bytes: number): void {
    this.holders.delete(holder);
    this.heldBytes -= bytes;
    for (const next of this.waiting) if (!next.retry()) return;
  }
}
