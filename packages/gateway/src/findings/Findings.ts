import { Subject } from 'rxjs';
import { PoisonTable } from '@azurecart/scheduling';
import type { PartEvidence } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';

/** What processes tell each other of their findings. */
export interface FindingsUpdate {
  /** Evidence about prompt parts that may end engines. */
  parts: PartEvidence[];
}

/** Options of {@link Findings}. */
export interface FindingsOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
  logger: Logger;
}

/**
 * What any process has learned from upstreams and what binds all of them. Each entry process and
 * each control process holds a copy, and both sides of a new link send theirs, so findings outlive
 * the restart of a process, a change of the scheduler and partitions.
 */
export class Findings {
  readonly poison: PoisonTable;

  private readonly changeSubject = new Subject<FindingsUpdate>();

  /** Findings of this process itself, which are to be sent to others. */
  readonly changes = this.changeSubject.asObservable();

  constructor(private readonly options: FindingsOptions) {
    this.poison = new PoisonTable(options);
  }

  /** Records that a prompt has had its first event. */
  recordAnswer(parts: string[]): void {
    this.publish(this.poison.recordAnswer(parts));
  }

  /**
   * Records that an engine ended while a prompt had no event yet.
   * @param sentAt - Monotonic time in milliseconds at which the prompt was sent.
   */
  recordCrash(engine: string, parts: string[], sentAt: number): void {
    this.publish(this.poison.recordCrash(engine, parts, sentAt));
  }

  /**
   * Merges findings of another process.
   * @returns What was new; undefined if nothing was.
   */
  merge({ parts }: FindingsUpdate): FindingsUpdate | undefined {
    const changed = this.poison.merge(parts);
    this.log(changed);
    return changed.length > 0 ? { parts: this.poison.getEvidence(changed) } : undefined;
  }

  getAll(): FindingsUpdate {
    return { parts: this.poison.getEvidence() };
  }

  removeExpired(): void {
    this.poison.removeExpired();
  }

  private publish(parts: string[]): void {
    if (parts.length === 0) return;
    this.log(parts);
    this.changeSubject.next({ parts: this.poison.getEvidence(parts) });
  }

  private log(parts: string[]): void {
    for (const part of parts) {
      const [evidence] = this.poison.getEvidence([part]);
      const verdict = this.poison.judge([part]);
      const { crashes = [], answeredAgeMs } = evidence ?? {};
      this.options.logger.info(
        { part, crashes: crashes.length, answeredAgeMs, verdict: verdict.kind },
        'evidence about a prompt part',
      );
    }
  }
}
