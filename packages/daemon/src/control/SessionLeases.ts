import type { SessionRecord } from './SessionTable.js';

/** Clock rates of two VMs may differ by this share. */
const DRIFT = 0.05;

/** What the leases are made of. */
export interface SessionLeasesOptions {
  leaseMs: number;
  now: () => number;
}

interface Lease {
  endsAt: number;
  appliedRelease: number;
  /** True once the closing was proposed: the lease is not extended any more. */
  isClosing: boolean;
}

/**
 * Leases of entry processes, held by the leader only.
 * @remarks A new leader lets every session live for a whole lease, since the old leader may have
 * extended any of them just before it lost its own lease.
 */
export class SessionLeases {
  private leases = new Map<string, Lease>();

  constructor(private readonly options: SessionLeasesOptions) {}

  /** Starts anew when this process has become the leader. */
  reset(sessions: SessionRecord[]): void {
    this.leases.clear();
    sessions.forEach((session) => this.add(session.id));
  }

  /** Extends a lease; gets false when the session is being closed. */
  extend(id: string, appliedRelease: number): boolean {
    const lease = this.leases.get(id) ?? this.add(id);
    if (lease.isClosing) return false;
    lease.endsAt = this.getEnd();
    lease.appliedRelease = Math.max(lease.appliedRelease, appliedRelease);
    return true;
  }

  /** Gets the sessions whose lease has ended, and extends them no more. */
  takeExpired(sessions: SessionRecord[]): SessionRecord[] {
    const now = this.options.now();
    return sessions.filter((session) => {
      const lease = this.leases.get(session.id) ?? this.add(session.id);
      if (lease.isClosing || lease.endsAt > now) return false;
      lease.isClosing = true;
      return true;
    });
  }

  isLive(id: string): boolean {
    const lease = this.leases.get(id);
    return lease !== undefined && !lease.isClosing && lease.endsAt > this.options.now();
  }

  getAppliedRelease(id: string): number {
    return this.leases.get(id)?.appliedRelease ?? 0;
  }

  /** Forgets the sessions that are closed. */
  retain(sessions: SessionRecord[]): void {
    const open = new Set(sessions.map((session) => session.id));
    for (const id of [...this.leases.keys()]) {
      if (!open.has(id)) this.leases.delete(id);
    }
  }

  private add(id: string): Lease {
    const lease = { endsAt: this.getEnd(), appliedRelease: 0, isClosing: false };
    this.leases.set(id, lease);
    return lease;
  }

  private getEnd(): number {
    return this.options.now() + this.options.leaseMs * (1 + DRIFT);
  }
}
