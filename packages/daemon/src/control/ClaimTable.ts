import type { ClaimResult } from './commands.js';

/** A call that may not be repeated, kept by its key. */
export interface Claim {
  fingerprint: string;
  /** The one attempt that may send the call. */
  claimant: string;
  atMs: number;
  result?: ClaimResult;
}

/** What became of an attempt to claim a key. */
export type ClaimDecision =
  | { state: 'granted' }
  | { state: 'pending' }
  | { state: 'mismatch' }
  | { state: 'settled'; result: ClaimResult };

/**
 * Claims of calls that may not be repeated.
 * @remarks A claim passes to another attempt only after its holder has recorded that nothing was
 * sent and that it has given up.
 */
export class ClaimTable {
  private claims = new Map<string, Claim>();

  get size(): number {
    return this.claims.size;
  }

  /** Claims a key for an attempt. */
  claim(key: string, wanted: Claim): ClaimDecision {
    const known = this.claims.get(key);
    if (!known || (known.result?.kind === 'not-run' && known.fingerprint === wanted.fingerprint)) {
      this.claims.set(key, { ...wanted });
      return { state: 'granted' };
    }
    if (known.fingerprint !== wanted.fingerprint) return { state: 'mismatch' };
    if (known.result) return { state: 'settled', result: known.result };
    return { state: known.claimant === wanted.claimant ? 'granted' : 'pending' };
  }

  /** Records the result of the attempt that holds a key; the first result stays. */
  settle(key: string, claimant: string, result: ClaimResult): boolean {
    const claim = this.claims.get(key);
    if (!claim || claim.claimant !== claimant) return false;
    claim.result ??= result;
    return true;
  }

  /** Removes the claims made before a time. */
  removeBefore(beforeMs: number): void {
    for (const [key, claim] of this.claims) {
      if (claim.atMs < beforeMs) this.claims.delete(key);
    }
  }

  /** Tells whether a claim was made before a time. */
  hasBefore(beforeMs: number): boolean {
    const [oldest] = this.claims.values();
    return oldest !== undefined && oldest.atMs < beforeMs;
  }

  getAll(): [string, Claim][] {
    return [...this.claims];
  }

  restore(claims: [string, Claim][]): void {
    this.claims = new Map(claims);
  }
}
