import type { SessionRecord } from './SessionTable.js';

/**
 * Largest relative difference assumed between the clock rates of two VMs. Must agree with the
 * constant in `ConfigurationLease.ts`.
 */
const MAX_CLOCK_DRIFT_RATIO = 0.05;

/** Options of {@link SessionLeases}. */
export interface SessionLeasesOptions {
  leaseMs: number;
  now: () => number;
}

interface Lease {
  expiresAt: number;
  appliedRelease: number;
  /** Set when the lease has expired and the session is to be closed: it is not extended again. */
  isClosing: boolean;
}

/**
 * Leases of entry process sessions, kept by the leader only.
 * @remarks A new leader starts a full lease for every session, because the previous leader may have
 * extended any of them just before it lost its own lease.
 */
export class SessionLeases {
  private leases = new Map<string, Lease>();

  constructor(private readonly options: SessionLeasesOptions) {}

  /** Starts a full lease for each open session when this process has become the leader. */
  reset(sessions: SessionRecord[]): void {
    this.leases.clear();
    sessions.forEach((session) => this.add(session.id));
  }

  /**
   * Extends a lease; starts one for a session without a lease.
   * @returns False when the session is being closed.
   */
  extend(id: string, appliedRelease: number): boolean {
    const lease = this.leases.get(id) ?? this.add(id);
    if (lease.isClosing) return false;
    lease.expiresAt = this.getExpiryTime();
    lease.appliedRelease = Math.max(lease.appliedRelease, appliedRelease);
    return true;
  }

  /** Gets the sessions whose lease has expired, each only once, and marks them as closing. */
  takeExpired(sessions: SessionRecord[]): SessionRecord[] {
    const now = this.options.now();
    return sessions.filter((session) => {
      const lease = this.leases.get(session.id) ?? this.add(session.id);
      if (lease.isClosing || lease.expiresAt > now) return false;
      lease.isClosing = true;
      return true;
    });
  }

  isLive(id: string): boolean {
    const lease = this.leases.get(id);
    return lease !== undefined && !lease.isClosing && lease.expiresAt > this.options.now();
  }

  getAppliedRelease(id: string): number {
    return this.leases.get(id)?.appliedRelease ?? 0;
  }

  /** Removes the leases of all sessions but the given open ones. */
  retain(sessions: SessionRecord[]): void {
    const open = new Set(sessions.map((session) => session.id));
    for (const id of [...this.leases.keys()]) {
      if (!open.has(id)) this.leases.delete(id);
    }
  }

  private add(id: string): Lease {
    const lease = { expiresAt: this.getExpiryTime(), appliedRelease: 0, isClosing: false };
    this.leases.set(id, lease);
    return lease;
  }

  private getExpiryTime(): number {
    return this.options.now() + this.options.leaseMs * (1 + MAX_CLOCK_DRIFT_RATIO);
  }
}
