import { WORK_PRIORITIES } from '../workload/index.js';
import type { WorkPriority } from '../workload/index.js';

/** Half-life of the recorded service, in milliseconds. */
const HALF_LIFE_MS = 2000;

/**
 * Service given to each priority, in prompt-token equivalents, with exponential decay over time.
 */
export class ServiceShares {
  private readonly served = new Map<WorkPriority, number>();

  private updatedAt = 0;

  add(priority: WorkPriority, cost: number, now: number): void {
    this.decay(now);
    this.served.set(priority, this.getServed(priority) + cost);
  }

  /** Gets the share of recent service that a priority received, 0 to 1. */
  getShare(priority: WorkPriority): number {
    const total = WORK_PRIORITIES.reduce((sum, each) => sum + this.getServed(each), 0);
    return total === 0 ? 0 : this.getServed(priority) / total;
  }

  private getServed(priority: WorkPriority): number {
    return this.served.get(priority) ?? 0;
  }

  private decay(now: number): void {
    const factor = 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    this.served.forEach((value, priority) => this.served.set(priority, value * factor));
  }
}
