import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Proof that a release was accepted. */
export interface Receipt {
  number: number;
  digest: string;
  operator: string;
  atMs: number;
}

/** Why a release was refused. */
export interface ReleaseRefusal {
  reason: string;
  /** Receipt of the release that has the number; undefined when none has. */
  winner: Receipt | undefined;
}

/** What became of a submitted release. */
export type SubmitDecision = Result<Receipt, ReleaseRefusal>;

/** The release in force and the receipts of earlier ones. */
export interface ReleaseTableState {
  text: string;
  receipts: Receipt[];
}

const RECEIPT_LIMIT = 20_000;

/** Accepted releases, numbered without gaps. */
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

  /** Accepts the release that follows the latest one; an identical repeat gets the first receipt. */
  submit(receipt: Receipt, text: string): SubmitDecision {
    if (receipt.number === this.number + 1) return this.accept(receipt, text);
    if (receipt.number > this.number) {
      const reason = `follows release ${receipt.number - 1}, but the latest is ${this.number}`;
      return Err({ reason, winner: undefined });
    }
    return this.compare(receipt);
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
    if (this.receipts.length > RECEIPT_LIMIT) this.receipts.shift();
    return Ok(receipt);
  }

  private compare(receipt: Receipt): SubmitDecision {
    const winner = this.receipts.find(({ number }) => number === receipt.number);
    if (winner?.digest === receipt.digest) return Ok(winner);
    const who = winner ? `by ${winner.operator}` : 'long ago';
    const reason = `release ${receipt.number} was accepted ${who} with other content`;
    return Err({ reason, winner });
  }
}
