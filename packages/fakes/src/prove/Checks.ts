/** Counts the checks of a run and remembers what did not hold. */
export class Checks {
  readonly counts: Record<string, number> = {};

  readonly violations: string[] = [];

  /** Checks a condition under a name. */
  check(name: string, holds: boolean, detail: () => string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1;
    if (!holds) this.violations.push(`${name}: ${detail()}`);
  }
}
