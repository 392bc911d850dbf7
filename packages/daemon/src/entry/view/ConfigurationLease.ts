/** Clock rates of two VMs may differ by this share. */
const DRIFT = 0.05;

/**
 * The right to admit requests under the configuration held.
 * @remarks The lease counts from the time at which its renewal was sent, and it is checked when it
 * is used: a process that was frozen finds it ended.
 */
export class ConfigurationLease {
  private endsAt = -Infinity;

  /** @param now - Monotonic clock in milliseconds that goes on while the process is frozen. */
  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Extends the lease by the answer to a renewal sent at a time. */
  extend(sentAt: number, leaseMs: number): void {
    this.endsAt = Math.max(this.endsAt, sentAt + leaseMs * (1 - DRIFT));
  }

  /** Ends the lease at once. */
  end(): void {
    this.endsAt = -Infinity;
  }

  get isHeld(): boolean {
    return this.now() < this.endsAt;
  }
}
