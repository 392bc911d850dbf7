import type { CloseReason } from './Connection.js';
import type { RefusalReason } from './ConnectionTable.js';

/** Numbers of connections by the reason for which they were refused or closed. */
export interface IngressCounts {
  refused: Record<RefusalReason, number>;
  closed: Record<CloseReason, number>;
}

/** Counts the connections that an ingress refuses or closes. */
export class IngressStatistics {
  /** Counts since the start. */
  readonly totals = createCounts();

  private recent = createCounts();

  private hasRecent = false;

  recordRefusal(reason: RefusalReason): void {
    this.totals.refused[reason] += 1;
    this.recent.refused[reason] += 1;
    this.hasRecent = true;
  }

  recordClose(reason: CloseReason): void {
    this.totals.closed[reason] += 1;
    this.recent.closed[reason] += 1;
    this.hasRecent = true;
  }

  /** Gets the counts since the last call; undefined if there are none. */
  takeRecent(): IngressCounts | undefined {
    if (!this.hasRecent) return undefined;
    const { recent } = this;
    this.recent = createCounts();
    this.hasRecent = false;
    return recent;
  }
}

function createCounts(): IngressCounts {
  return {
    refused: { connections: 0, address: 0 },
    closed: { evicted: 0, idle: 0, head: 0, reader: 0, ahead: 0, drain: 0 },
  };
}
