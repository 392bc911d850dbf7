import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../load/index.js';

/** A kind of fault; `inject` ends when the fault is reverted, if it ever is. */
export interface FaultKind {
  name: string;
  weight: number;
  inject: () => Promise<void>;
}

/**
 * Injects faults chosen by the seeded random generator; several can be active at a time. Concurrent
 * tasks share the generator, so a seed does not repeat a run exactly.
 */
export class FaultSchedule {
  /**
   * Number of chosen faults by name, including those that were not injected because the target already
   * had an active fault.
   */
  readonly injected: Record<string, number> = {};

  /** Targets with an active fault. */
  readonly faulted = new Set<unknown>();

  constructor(private readonly random: Random) {}

  /** Injects faults at random intervals until the run is over, and waits until they are reverted. */
  async run(kinds: FaultKind[], interval: [number, number], isOver: () => boolean): Promise<void> {
    const pending: Promise<void>[] = [];
    while (!isOver()) {
      await this.sleepWithin(interval);
      pending.push(this.injectNext(kinds));
    }
    await Promise.all(pending);
  }

  /** Injects a fault into a random target that has none, if there is one. */
  async injectIntoOne<T>(targets: T[], run: (target: T) => Promise<void>): Promise<void> {
    const candidates = targets.filter((target) => !this.faulted.has(target));
    if (candidates.length === 0) return;
    const target = this.random.pick(candidates);
    this.faulted.add(target);
    await run(target);
    this.faulted.delete(target);
  }

  async sleepWithin([from, to]: [number, number]): Promise<void> {
    await sleep(this.random.nextInteger(from, to));
  }

  /** Injects one fault by weighted random choice. */
  private async injectNext(kinds: FaultKind[]): Promise<void> {
    const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
    let remainingWeight = this.random.next() * total;
    const fault = kinds.find(({ weight }) => {
      remainingWeight -= weight;
      return remainingWeight <= 0;
    });
    if (!fault) return;
    this.injected[fault.name] = (this.injected[fault.name] ?? 0) + 1;
    await fault.inject();
  }
}
