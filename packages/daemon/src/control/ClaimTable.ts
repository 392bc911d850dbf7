import type { ClaimResult } from './commands.js';

/** Claim on the idempotency key of a call that must not be repeated. */
export interface Claim {
  fingerprint: string;
  /** Attempt that may send the call. */
  claimant: string;
  atMs: number;
  result?: ClaimResult;
}

/** Outcome of an attempt to claim a key. */
export type ClaimDecision =
  | { state: 'granted' }
  | { state: 'pending' }
  | { state: 'mismatch' }
  | { state: 'settled'; result: ClaimResult };

/**
 * Claims on the idempotency keys of calls that must not be repeated.
 * @remarks A claim is granted to another attempt only after its holder has recorded `not-run`: the
 * call did not run, and the holder will not send it any more.
 */
export class ClaimTable {
  private claims = new Map<string, Claim>();

  get size(): number {
    return this.claims.size;
  }

  /** Claims a key for an attempt; a repeated claim by the holder is granted again. */
  claim(key: string, requested: Claim): ClaimDecision {
    const existing = this.claims.get(key);
    if (
      !existing ||
      (existing.result?.kind === 'not-run' && existing.fingerprint === requested.fingerprint)
    ) {
      this.claims.set(key, { ...requested });
      return { state: 'granted' };
    }
    if (existing.fingerprint !== requested.fingerprint) return { state: 'mismatch' };
    if (existing.result) return { state: 'settled', result: existing.result };
    return { state: existing.claimant === requested.claimant ? 'granted' : 'pending' };
  }

  /**
   * Records the result of a claimed call; later results are ignored.
   * @returns False when the attempt does not hold the claim.
   */
  settle(key: string, claimant: string, result: ClaimResult): boolean {
    const claim = this.claims.get(key);
    if (!claim || claim.claimant !== claimant) return false;
    claim.result ??= result;
    return true;
  }

  removeClaimsBefore(beforeMs: number): void {
    for (const [key, claim] of this.claims) {
      if (claim.atMs < beforeMs) this.claims.delete(key);
    }
  }

  /**
   * Whether a claim may be older than `beforeMs`; can be false although one is. Tests only the
   * first claim in insertion order. It is the oldest one unless its key was granted again, which
   * renews its time but keeps its insertion order; older claims behind it are then removed later.
   */
  hasClaimsBefore(beforeMs: number): boolean {
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
