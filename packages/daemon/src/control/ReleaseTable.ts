import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Record of an accepted release. */
export interface Receipt {
  number: number;
  digest: string;
  operator: string;
  atMs: number;
}

/** Why a release was refused. */
export interface ReleaseRefusal {
  reason: string;
  /** Receipt of the accepted release with the same number; undefined when none is kept. */
  winner: Receipt | undefined;
}

/** Outcome of submitting a release. */
export type SubmitDecision = Result<Receipt, ReleaseRefusal>;

/** Text of the latest release and the receipts, as stored in snapshots. */
export interface ReleaseTableState {
  text: string;
  receipts: Receipt[];
}

/** Older receipts are dropped, which bounds the size of the snapshots. */
const MAX_RECEIPTS = 20_000;

/** Accepted releases, numbered consecutively. */
export class ReleaseTable {
  private text = '';

  private receipts: Receipt[] = [];

  /** Gets the number of the latest release; 0 before the first. */
  get number(): number {
    return this.latest?.number ?? 0;
  }

  get latest(): Receipt | undefined {
    return this.receipts.at(-1);
  }

  /** Gets the JSON text of the latest release. */
  get latestText(): string {
    return this.text;
  }

  /**
   * Accepts the release that follows the latest one. Resubmitting an accepted release with the same
   * content gets the receipt of the first submission.
   */
  submit(receipt: Receipt, text: string): SubmitDecision {
    if (receipt.number === this.number + 1) return this.accept(receipt, text);
    if (receipt.number > this.number) {
      const reason = `follows release ${receipt.number - 1}, but the latest is ${this.number}`;
      return Err({ reason, winner: undefined });
    }
    return this.matchAccepted(receipt);
  }

  getState(): ReleaseTableState {
    return { text: this.text, receipts: this.receipts };
  }

  restore(state: ReleaseTableState): void {
    this.text = state.text;
    this.receipts = state.receipts;
  }

  private accept(receipt: Receipt, text: string): SubmitDecision {
    this.text = text;
    this.receipts.push(receipt);
    if (this.receipts.length > MAX_RECEIPTS) this.receipts.shift();
    return Ok(receipt);
  }

  private matchAccepted(receipt: Receipt): SubmitDecision {
    const winner = this.receipts.find(({ number }) => number === receipt.number);
    if (winner?.digest === receipt.digest) return Ok(winner);
    // Without the receipt it is not known whether the content differs; the message assumes that it
    // does.
    const acceptedBy = winner ? `by ${winner.operator}` : 'long ago';
    const reason = `release ${receipt.number} was accepted ${acceptedBy} with other content`;
    return Err({ reason, winner });
  }
}
