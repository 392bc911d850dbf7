/** Options of {@link RandomTurns}. */
export interface RandomTurnsOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  random: () => number;
}

interface Slot {
  endsAt: number;
  turns: number;
}

const SLOT_MS = 1000;

/**
 * Turns of one process at upstreams whose limit it shares with others that it cannot ask. Each
 * second it draws whether it has a turn. Turns are not saved up, as all processes would then have one
 * at the same time.
 */
export class RandomTurns {
  private readonly slots = new Map<string, Slot>();

  constructor(private readonly options: RandomTurnsOptions) {}

  /**
   * Takes a turn at an upstream.
   * @param perSecond - Turns per second that this process has on average.
   * @returns False if it has none left in this second.
   */
  take(upstream: string, perSecond: number): boolean {
    const slot = this.getSlot(upstream, perSecond);
    if (slot.turns < 1) return false;
    slot.turns -= 1;
    return true;
  }

  /** Removes what no longer counts. */
  removeExpired(): void {
    const now = this.options.now();
    for (const [upstream, { endsAt }] of this.slots) if (endsAt <= now) this.slots.delete(upstream);
  }

  private getSlot(upstream: string, perSecond: number): Slot {
    const now = this.options.now();
    const known = this.slots.get(upstream);
    if (known && known.endsAt > now) return known;
    const whole = Math.floor(perSecond);
    const turns = whole + Number(this.options.random() < perSecond - whole);
    const slot = { endsAt: now + SLOT_MS, turns };
    this.slots.set(upstream, slot);
    return slot;
  }
}
