import { Subject } from 'rxjs';
import { PoisonTable, RateLimitTable } from '@azurecart/scheduling';
import type { PartEvidence, RateLimit } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';

/** What processes tell each other of their findings. */
export interface FindingsUpdate {
  /** Evidence about prompt parts that may end engines. */
  parts: PartEvidence[];
  /** Limits that upstreams have named or lifted. */
  limits: RateLimit[];
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

  readonly limits: RateLimitTable;

  private readonly changeSubject = new Subject<FindingsUpdate>();

  /** Findings of this process itself, which are to be sent to others. */
  readonly changes = this.changeSubject.asObservable();

  constructor(private readonly options: FindingsOptions) {
    this.poison = new PoisonTable(options);
    this.limits = new RateLimitTable(options);
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
   * Records the limit that a response names.
   * @param requestsPerSecond - Undefined if it names none.
   */
  recordLimit(upstream: string, bornAt: number, requestsPerSecond: number | undefined): void {
    if (!this.limits.record(upstream, bornAt, requestsPerSecond)) return;
    this.logLimits([upstream]);
    this.changeSubject.next({ parts: [], limits: this.limits.getLimits([upstream]) });
  }

  /**
   * Merges findings of another process.
   * @returns What was new; undefined if nothing was.
   */
  merge({ parts, limits }: FindingsUpdate): FindingsUpdate | undefined {
    const changedParts = this.poison.merge(parts);
    const changedLimits = this.limits.merge(limits);
    if (changedParts.length === 0 && changedLimits.length === 0) return undefined;
    this.logParts(changedParts);
    this.logLimits(changedLimits);
    return {
      parts: this.poison.getEvidence(changedParts),
      limits: this.limits.getLimits(changedLimits),
    };
  }

  getAll(): FindingsUpdate {
    return { parts: this.poison.getEvidence(), limits: this.limits.getLimits() };
  }

  /** Removes what is too old to count, and the limits of upstreams that are no longer known. */
  removeExpired(isKnown: (upstream: string) => boolean): void {
    this.poison.removeExpired();
    this.limits.removeExpired(isKnown);
  }

  private publish(parts: string[]): void {
    if (parts.length === 0) return;
    this.logParts(parts);
    this.changeSubject.next({ parts: this.poison.getEvidence(parts), limits: [] });
  }

  private logLimits(upstreams: string[]): void {
    this.limits
      .getLimits(upstreams)
      .forEach((limit) => this.options.logger.info(limit, 'limit of an upstream'));
  }

  private logParts(parts: string[]): void {
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
