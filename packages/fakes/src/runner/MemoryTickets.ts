/** An order about memory, as it stands in the body of a call. */
export interface TicketOrder {
  Operation: string;
  Id: string;
  TokenCount?: number;
  HoldMs?: number;
}

interface Ticket {
  tokens: number;
  endsAt: number;
}

/** Memory that a runner has set aside, by the name of its ticket. */
export class MemoryTickets {
  /** Tickets that were ever granted. */
  granted = 0;

  private readonly tickets = new Map<string, Ticket>();

  constructor(private readonly totalTokens: number) {}

  /** Number of tickets that are held now. */
  get held(): number {
    this.expire();
    return this.tickets.size;
  }

  /** Tokens that are not set aside. */
  get free(): number {
    this.expire();
    return [...this.tickets.values()].reduce((left, { tokens }) => left - tokens, this.totalTokens);
  }

  /** Carries out an order and gets the status of the answer. */
  take({ Operation: operation, Id: id, TokenCount: tokens = 0, HoldMs: holdMs = 0 }: TicketOrder) {
    if (operation === 'release') {
      this.tickets.delete(id);
      return 200;
    }
    if (operation !== 'reserve' || tokens > this.totalTokens) return 400;
    const known = this.tickets.get(id);
    if (!known && tokens > this.free) return 409;
    if (!known) this.granted += 1;
    this.tickets.set(id, { tokens, endsAt: performance.now() + holdMs });
    return 200;
  }

  private expire(): void {
    const now = performance.now();
    for (const [id, { endsAt }] of this.tickets) if (endsAt < now) this.tickets.delete(id);
  }
}
