/**
 * Largest relative difference assumed between the clock rates of two VMs. Must agree with the
 * constant in `SessionLeases.ts`.
 */
const MAX_CLOCK_DRIFT_RATIO = 0.05;

/**
 * Lease that permits this process to admit requests under its current configuration.
 * @remarks The lease period starts when the renewal is sent, not when it is answered. Expiry is
 * checked at each use, so a process that was stopped finds its lease expired when it resumes.
 * This does not hold when the whole host sleeps, as the default clock does not advance meanwhile.
 */
export class ConfigurationLease {
  private endsAt = -Infinity;

  /** @param now - Monotonic clock in milliseconds; must advance while the process is stopped. */
  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Extends the lease after a successful renewal; never shortens it. */
  extend(sentAt: number, leaseMs: number): void {
    this.endsAt = Math.max(this.endsAt, sentAt + leaseMs * (1 - MAX_CLOCK_DRIFT_RATIO));
  }

  /** Ends the lease immediately. */
  end(): void {
    this.endsAt = -Infinity;
  }

  get isHeld(): boolean {
    return this.now() < this.endsAt;
  }
}
