import type { PartEvidence, PartVerdict } from './PartEvidence.js';

/** Options of a {@link PoisonTable}. */
export interface PoisonTableOptions {
  /** Gets the monotonic time in milliseconds. */
  now: () => number;
}

/** Monotonic times in milliseconds of the end of an engine, and of the last send before it. */
interface CrashTimes {
  at: number;
  sentAt: number;
}

interface PartRecord {
  /** Ends of engines by their lifetimes. */
  crashes: Map<string, CrashTimes>;
  answeredAt: number;
}

/** Successive crashes since its last answer with which a part is quarantined. */
const QUARANTINE_CRASHES = 3;
/**
 * Milliseconds from the last crash until a prompt with a quarantined part is tried again, by the
 * number of crashes from `QUARANTINE_CRASHES` on. A part may be sound again after a release, but each
 * trial may cost an engine, so there are no more of them after the last of these.
 */
const RETRIAL_DELAYS_MS = [1000, 10_000, 600_000, 3_600_000];
/** Longest delay in milliseconds after which the client of a refused prompt may come back. */
export const MAX_QUARANTINE_RETRY_MS = 60_000;
/** Milliseconds after an answer in which few crashes do not make a part suspect. */
const TRUST_MS = 10_000;
/** Milliseconds without a crash after which the evidence against a part is dropped. */
const SUSPICION_TTL_MS = 60_000;
/** The same for a quarantined part, as long as it has trials left. */
const QUARANTINE_TTL_MS = 3_600_000;
/** Bounds of the memory that prompts with ever new parts can take. */
const MAX_RECORDS = 1000;
const MAX_ANSWERED = 10_000;
const MAX_CRASHES_PER_PART = 16;

/**
 * Finds the parts of prompts that end the engines which answer them, from the ends of engines and
 * from the answers that all processes have seen.
 * @remarks When an engine ends, each prompt on it without an event is accused, and most are victims.
 * The parts of a prompt that is answered are cleared. What ended several engines and was never
 * answered between is quarantined; a part that only came along with it is not. Merging is
 * commutative and idempotent, so processes may exchange evidence in any order and repeatedly.
 */
export class PoisonTable {
  private readonly records = new Map<string, PartRecord>();

  /** Times of the last answers, the oldest first. */
  private readonly answered = new Map<string, number>();

  constructor(private readonly options: PoisonTableOptions) {}

  /**
   * Records the first event of a prompt, which clears its parts.
   * @returns The parts that were accused before.
   */
  recordAnswer(parts: string[]): string[] {
    const now = this.options.now();
    const cleared = parts.filter((part) => this.getCrashesSinceAnswer(part).length > 0);
    parts.forEach((part) => this.setAnswered(part, now));
    this.forgetAnswers(now);
    return cleared;
  }

  /**
   * Records that an engine ended while a prompt with these parts had no event.
   * @param sentAt - Monotonic time in milliseconds at which the prompt was sent.
   * @returns The parts with new evidence.
   */
  recordCrash(engine: string, parts: string[], sentAt: number): string[] {
    const at = this.options.now();
    return parts.filter((part) => this.addCrash(part, engine, { at, sentAt }));
  }

  /** Judges a prompt by its parts. */
  judge(parts: string[]): PartVerdict {
    if (this.records.size === 0) return { kind: 'sound' };
    const now = this.options.now();
    const suspects = parts.filter((part) => this.isSuspect(part, now));
    const quarantined = suspects.filter((part) => this.countCrashes(part) >= QUARANTINE_CRASHES);
    let verdict: PartVerdict =
      suspects.length > 0 ? { kind: 'suspect', parts: suspects } : { kind: 'sound' };
    for (const part of quarantined) {
      const retryAfterMs = this.getRetrialAt(part, quarantined.length) - now;
      const isLonger = verdict.kind !== 'quarantined' || retryAfterMs > verdict.retryAfterMs;
      if (retryAfterMs > 0 && isLonger) verdict = { kind: 'quarantined', part, retryAfterMs };
    }
    return verdict;
  }

  /** Tells whether one of the parts is suspect after more than one crash. */
  isRepeatedlyAccused(parts: string[]): boolean {
    const now = this.options.now();
    return parts.some((part) => this.isSuspect(part, now) && this.countCrashes(part) > 1);
  }

  /** Gets the evidence about the given parts, or about all. */
  getEvidence(parts: Iterable<string> = this.records.keys()): PartEvidence[] {
    const now = this.options.now();
    return [...parts].flatMap((part) => {
      const record = this.records.get(part);
      if (!record) return [];
      const crashes = [...record.crashes].map(([engine, { at, sentAt }]) => ({
        engine,
        ageMs: now - at,
        sentAgeMs: now - sentAt,
      }));
      const answeredAgeMs = Number.isFinite(record.answeredAt)
        ? now - record.answeredAt
        : undefined;
      return [{ part, crashes, answeredAgeMs }];
    });
  }

  /** Gets the evidence about the parts that are quarantined or may be after a trial. */
  getQuarantined(): PartEvidence[] {
    return this.getEvidence(
      [...this.records.keys()].filter((part) => this.countCrashes(part) >= QUARANTINE_CRASHES),
    );
  }

  /**
   * Adds the evidence of another process.
   * @returns The parts with new evidence.
   */
  merge(evidence: PartEvidence[]): string[] {
    const now = this.options.now();
    return evidence
      .filter(({ part, crashes, answeredAgeMs }) => {
        const added = crashes.filter(({ engine, ageMs, sentAgeMs }) =>
          this.addCrash(part, engine, {
            at: now - Math.max(0, ageMs),
            sentAt: now - Math.max(0, sentAgeMs),
          }),
        );
        const wasAccused = this.getCrashesSinceAnswer(part).length > 0;
        if (answeredAgeMs !== undefined) this.setAnswered(part, now - Math.max(0, answeredAgeMs));
        return added.length > 0 || (wasAccused && this.getCrashesSinceAnswer(part).length === 0);
      })
      .map(({ part }) => part);
  }

  /** Drops evidence that is too old to count. */
  removeExpired(): void {
    const now = this.options.now();
    for (const [part, { crashes }] of this.records) {
      const lastAt = Math.max(...[...crashes.values()].map(({ at }) => at));
      const ttlMs = getTtlMs(this.countCrashes(part));
      if (now - lastAt > ttlMs) this.records.delete(part);
    }
  }

  private isSuspect(part: string, now: number): boolean {
    const record = this.records.get(part);
    const crashes = this.countCrashes(part);
    if (!record || crashes === 0) return false;
    const isTrusted = now - record.answeredAt <= TRUST_MS && crashes < QUARANTINE_CRASHES;
    return !isTrusted && !this.isExplained(part);
  }

  /** Tells whether a quarantined part was on board at all crashes of this one and at more. */
  private isExplained(part: string): boolean {
    const own = this.getCrashesSinceAnswer(part);
    return [...this.records].some(([other, { crashes }]) => {
      if (other === part || crashes.size < QUARANTINE_CRASHES) return false;
      if (this.countCrashes(other) < QUARANTINE_CRASHES) return false;
      const others = new Set(this.getCrashesSinceAnswer(other).map(([engine]) => engine));
      return others.size > own.length && own.every(([engine]) => others.has(engine));
    });
  }

  /**
   * Gets the time at which a prompt with a quarantined part may run. One with several of them waits
   * longer, as it tells less. The first trial of a part that was answered lately need not wait.
   */
  private getRetrialAt(part: string, quarantinedParts: number): number {
    const trials = this.countCrashes(part) - QUARANTINE_CRASHES + quarantinedParts - 1;
    const answeredAt = this.records.get(part)?.answeredAt ?? -Infinity;
    if (trials === 0 && this.options.now() - answeredAt <= TRUST_MS) return -Infinity;
    const lastAt = Math.max(...this.getCrashesSinceAnswer(part).map(([, { at }]) => at));
    return lastAt + (RETRIAL_DELAYS_MS[trials] ?? Infinity);
  }

  /**
   * Counts the crashes since the last answer. Those of prompts that were sent before the first of
   * several crashes count once, since engines that end together have a cause outside of the prompts.
   */
  private countCrashes(part: string): number {
    let count = 0;
    let firstAt = -Infinity;
    for (const [, { at, sentAt }] of this.getCrashesSinceAnswer(part)) {
      if (sentAt < firstAt) continue;
      count += 1;
      firstAt = at;
    }
    return count;
  }

  /** Gets the engines that ended since the last answer, in the order of their ends. */
  private getCrashesSinceAnswer(part: string): [string, CrashTimes][] {
    const record = this.records.get(part);
    if (!record) return [];
    return [...record.crashes]
      .filter(([, { at }]) => at > record.answeredAt)
      .sort(([, a], [, b]) => a.at - b.at);
  }

  private addCrash(part: string, engine: string, times: CrashTimes): boolean {
    const record = this.records.get(part) ?? {
      crashes: new Map<string, CrashTimes>(),
      answeredAt: this.answered.get(part) ?? -Infinity,
    };
    const known = record.crashes.get(engine);
    if (known) {
      known.sentAt = Math.max(known.sentAt, times.sentAt);
      return false;
    }
    record.crashes.set(engine, times);
    const [oldest] = [...record.crashes].sort(([, a], [, b]) => a.at - b.at);
    if (record.crashes.size > MAX_CRASHES_PER_PART && oldest) record.crashes.delete(oldest[0]);
    this.records.set(part, record);
    if (this.records.size > MAX_RECORDS) this.removeLeastAccused(part);
    return true;
  }

  /** Makes room for a part, at the expense of the one with the least evidence against it. */
  private removeLeastAccused(added: string): void {
    let least: string | undefined;
    let fewest = Infinity;
    for (const part of this.records.keys()) {
      const crashes = this.countCrashes(part);
      if (part !== added && crashes < fewest) {
        fewest = crashes;
        least = part;
      }
    }
    if (least !== undefined) this.records.delete(least);
  }

  private setAnswered(part: string, at: number): void {
    const known = this.answered.get(part) ?? -Infinity;
    this.answered.delete(part);
    this.answered.set(part, Math.max(known, at));
    const record = this.records.get(part);
    if (record) record.answeredAt = Math.max(record.answeredAt, at);
  }

  private forgetAnswers(now: number): void {
    for (const [part, at] of this.answered) {
      if (now - at <= TRUST_MS && this.answered.size <= MAX_ANSWERED) return;
      this.answered.delete(part);
    }
  }
}

/** Gets the milliseconds after its last crash for which the evidence against a part is kept. */
function getTtlMs(crashes: number): number {
  // Dropping the evidence of one that has had its last trials would allow more of them.
  if (crashes >= QUARANTINE_CRASHES + RETRIAL_DELAYS_MS.length - 2) return Infinity;
  return crashes >= QUARANTINE_CRASHES ? QUARANTINE_TTL_MS : SUSPICION_TTL_MS;
}
