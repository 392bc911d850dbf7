const COUNTER_DIGITS = 6;
const WALL_DIGITS = 15;

/** A time stamp that sorts as text: wall milliseconds, then a counter. */
export type HybridTime = string;

/**
 * A hybrid logical clock: near the wall clock, and never behind a time stamp already seen.
 * @remarks A receiver's events sort after the sender's, whatever the two wall clocks say.
 */
export class HybridClock {
  private wallMs = 0;

  private counter = 0;

  /** @param now - Wall clock in milliseconds. */
  constructor(private readonly now: () => number = Date.now) {}

  /** Gets a time stamp later than all before. */
  tick(): HybridTime {
    this.advance(Math.max(this.now(), this.wallMs), -1);
    return this.format();
  }

  /** Takes the time stamp of a received message into account; malformed ones are ignored. */
  observe(remote: string | undefined): void {
    const match = /^(\d{15})\.(\d{6})$/.exec(remote ?? '');
    if (!match) return;
    const remoteWallMs = Number(match[1]);
    const wallMs = Math.max(remoteWallMs, this.wallMs, this.now());
    this.advance(wallMs, wallMs === remoteWallMs ? Number(match[2]) : -1);
  }

  private advance(wallMs: number, remoteCounter: number): void {
    const isSame = wallMs === this.wallMs;
    this.counter = Math.max(isSame ? this.counter : -1, remoteCounter) + 1;
    this.wallMs = wallMs;
  }

  private format(): HybridTime {
    const wall = String(Math.floor(this.wallMs)).padStart(WALL_DIGITS, '0');
    return `${wall}.${String(this.counter).padStart(COUNTER_DIGITS, '0')}`;
  }
}
