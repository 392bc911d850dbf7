import { getCost, WORK_PRIORITIES } from '../workload/index.js';
import type { WorkItem, WorkPriority } from '../workload/index.js';
import { CustomerQueue } from './CustomerQueue.js';
import { ServiceShares } from './ServiceShares.js';
import type { QueueCandidate, WorkQueue } from './WorkQueue.js';

/** Minimum share of service per priority, 0 to 1. */
export type MinimumShares = Record<WorkPriority, number>;

/**
 * A priority goes first while its share of service is below its minimum share times this factor.
 * Placed work counts as served even while its engine delays it behind urgent prompts; with a factor
 * of 1, standard work got 0.088 of a minimum share of 0.1.
 */
const SHARE_MARGIN = 1.2;

/**
 * Strict priority queue with a minimum share for each lower priority. Customers share a priority
 * fairly.
 */
export class FairQueue implements WorkQueue {
  private readonly queues = new Map<WorkPriority, CustomerQueue>();

  private readonly shares = new ServiceShares();

  /** @param getMinimumShares - Gets the current minimum shares. */
  constructor(private readonly getMinimumShares: () => MinimumShares) {
    WORK_PRIORITIES.forEach((priority) => this.queues.set(priority, new CustomerQueue()));
  }

  get size(): number {
    return WORK_PRIORITIES.reduce((sum, priority) => sum + this.getQueue(priority).size, 0);
  }

  add(work: WorkItem): void {
    this.getQueue(work.priority).add(work);
  }

  remove(id: string): boolean {
    return WORK_PRIORITIES.some((priority) => {
      const queue = this.getQueue(priority);
      const work = queue.remove(id);
      if (work) queue.refund(work);
      return work !== undefined;
    });
  }

  getCandidates(limit: number): QueueCandidate[] {
    const belowShare = WORK_PRIORITIES.filter((priority) => this.isBelowMinimumShare(priority));
    const rest = WORK_PRIORITIES.filter((priority) => !belowShare.includes(priority));
    return [...belowShare.reverse(), ...rest].flatMap((priority) =>
      this.getQueue(priority)
        .getFirst(limit)
        .map((work) => ({ work, isBelowMinimumShare: belowShare.includes(priority) })),
    );
  }

  /**
   * Estimates which work items would be served before `work`. Lower priorities below their minimum
   * share are left out, although they may go first.
   */
  getAhead(work: WorkItem): WorkItem[] {
    const higher = WORK_PRIORITIES.slice(0, WORK_PRIORITIES.indexOf(work.priority));
    const before = higher.flatMap((priority) => this.getQueue(priority).getFirst(Infinity));
    return [...before, ...this.getQueue(work.priority).getAhead(work.customer)];
  }

  getAll(): WorkItem[] {
    return WORK_PRIORITIES.flatMap((priority) => this.getQueue(priority).getFirst(Infinity));
  }

  onPlaced(work: WorkItem, now: number): void {
    const queue = this.getQueue(work.priority);
    queue.advanceVirtualTime(work.id);
    queue.remove(work.id);
    this.shares.add(work.priority, getCost(work), now);
  }

  getHigherPriorityShare(priority: WorkPriority): number {
    const higher = WORK_PRIORITIES.slice(0, WORK_PRIORITIES.indexOf(priority));
    return higher.reduce((sum, each) => sum + this.shares.getShare(each), 0);
  }

  private isBelowMinimumShare(priority: WorkPriority): boolean {
    const queue = this.getQueue(priority);
    if (priority === WORK_PRIORITIES[0] || queue.size === 0) return false;
    return this.shares.getShare(priority) < this.getMinimumShares()[priority] * SHARE_MARGIN;
  }

  private getQueue(priority: WorkPriority): CustomerQueue {
    return this.queues.get(priority) ?? new CustomerQueue();
  }
}
