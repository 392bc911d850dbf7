/**
 * The values are padded to these widths, so that timestamps sort as strings; `observe` matches the
 * same widths. This holds up to a counter of 999,999: a longer one sorts wrongly, and `observe`
 * ignores it.
 */
const COUNTER_DIGITS = 6;
const WALL_DIGITS = 15;

/** A timestamp of wall clock milliseconds and a counter; sorts in order of time as a string. */
export type HybridTime = string;

/**
 * A hybrid logical clock: follows the wall clock, but never falls behind an observed timestamp.
 * @remarks Events of a receiver sort after the message that caused them, even if its wall clock is
 * behind that of the sender.
 */
export class HybridClock {
  private wallMs = 0;

  private counter = 0;

  /** @param now - Wall clock in whole milliseconds. */
  constructor(private readonly now: () => number = Date.now) {}

  /** Gets a timestamp later than all that this clock has returned or observed. */
  tick(): HybridTime {
    this.advance(Math.max(this.now(), this.wallMs), -1);
    return this.format();
  }

  /** Advances the clock past the timestamp of a received message; ignores a malformed one. */
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
