import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';
import type { Timeline } from '../timeline/index.js';
import { InvariantViolationError } from './InvariantViolationError.js';

/** Metrics registry and timeline that checks and violations are reported to. */
export interface InvariantsOptions {
  registry: Registry;
  timeline: Timeline;
}

/** Runtime assertions that are also enabled in production. */
export class Invariants {
  private readonly checks: Counter<'invariant'>;

  private readonly violations: Counter<'invariant'>;

  constructor(private readonly options: InvariantsOptions) {
    const registers = [options.registry];
    const labelNames = ['invariant'] as const;
    this.checks = new Counter({
      name: 'azurecart_invariant_checks_total',
      help: 'Assertions evaluated',
      labelNames,
      registers,
    });
    this.violations = new Counter({
      name: 'azurecart_invariant_violations_total',
      help: 'Assertions that failed',
      labelNames,
      registers,
    });
  }

  /**
   * Counts a check, and records a violation if the condition does not hold.
   * @param detail - Describes the violation; only called if there is one.
   * @returns Whether the condition holds.
   */
  check(invariant: string, holds: boolean, detail: () => string): boolean {
    this.checks.inc({ invariant });
    if (holds) return true;
    this.violations.inc({ invariant });
    this.options.timeline.record('invariant-violated', { detail: `${invariant}: ${detail()}` });
    return false;
  }

  /**
   * Checks a condition that must hold for execution to continue safely.
   * @throws InvariantViolationError if it does not hold.
   */
  require(invariant: string, holds: boolean, detail: () => string): void {
    if (!this.check(invariant, holds, detail))
      throw new InvariantViolationError(invariant, detail());
  }
}
