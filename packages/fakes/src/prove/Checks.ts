/** Counts the invariant checks of a run and collects the violations. */
export class Checks {
  readonly counts: Record<string, number> = {};

  readonly violations: string[] = [];

  /** Counts a check, and records a violation with its detail if the condition does not hold. */
  check(name: string, holds: boolean, detail: () => string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1;
    if (!holds) this.violations.push(`${name}: ${detail()}`);
  }
}
