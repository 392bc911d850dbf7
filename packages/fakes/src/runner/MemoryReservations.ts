/** Body of a call that reserves or releases memory. */
export interface ReservationCommand {
  Operation: string;
  Id: string;
  TokenCount?: number;
  HoldMs?: number;
}

interface Reservation {
  tokens: number;
  expiresAt: number;
}

/** Memory reservations of a runner, by ticket id. */
export class MemoryReservations {
  /** Number of reservations granted since the start; renewals do not count. */
  grantedCount = 0;

  private readonly reservations = new Map<string, Reservation>();

  constructor(private readonly totalTokens: number) {}

  /** Number of unexpired reservations. */
  get heldCount(): number {
    this.removeExpired();
    return this.reservations.size;
  }

  /** Tokens that are not reserved. */
  get freeTokens(): number {
    this.removeExpired();
    return [...this.reservations.values()].reduce(
      (sum, { tokens }) => sum - tokens,
      this.totalTokens,
    );
  }

  /**
   * Executes a command and gets the HTTP status of the response: 200 on success, 400 for an invalid
   * command, 409 when the free memory does not suffice. A renewal is not checked against the free
   * memory.
   */
  execute({
    Operation: operation,
    Id: id,
    TokenCount: tokens = 0,
    HoldMs: holdMs = 0,
  }: ReservationCommand) {
    if (operation === 'release') {
      this.reservations.delete(id);
      return 200;
    }
    if (operation !== 'reserve' || tokens > this.totalTokens) return 400;
    const existing = this.reservations.get(id);
    if (!existing && tokens > this.freeTokens) return 409;
    if (!existing) this.grantedCount += 1;
    this.reservations.set(id, { tokens, expiresAt: performance.now() + holdMs });
    return 200;
  }

  private removeExpired(): void {
    const now = performance.now();
    for (const [id, { expiresAt }] of this.reservations)
      if (expiresAt < now) this.reservations.delete(id);
  }
}
