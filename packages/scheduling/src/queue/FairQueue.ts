import { getCost, WORK_PRIORITIES } from '../workload/index.js';
import type { Work, WorkPriority } from '../workload/index.js';
import { CustomerQueue } from './CustomerQueue.js';
import { ServiceShares } from './ServiceShares.js';
import type { Candidate, WorkQueue } from './WorkQueue.js';

/** Minimum share of service of each priority. */
export type MinimumShares = Record<WorkPriority, number>;

/** Placed work that an engine holds back is made up for by aiming above the minimum share. */
const SHARE_MARGIN = 1.2;

/** Strict priorities with minimum shares, and fair among customers within a priority. */
export class FairQueue implements WorkQueue {
  private readonly queues = new Map<WorkPriority, CustomerQueue>();

  private readonly shares = new ServiceShares();

  /** @param minimumShares - Gets the shares in force. */
  constructor(private readonly minimumShares: () => MinimumShares) {
    WORK_PRIORITIES.forEach((priority) => this.queues.set(priority, new CustomerQueue()));
  }

  get size(): number {
    return WORK_PRIORITIES.reduce((sum, priority) => sum + this.getQueue(priority).size, 0);
  }

  add(work: Work): void {
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

  getCandidates(limit: number): Candidate[] {
    const due = WORK_PRIORITIES.filter((priority) => this.isShareDue(priority));
    const rest = WORK_PRIORITIES.filter((priority) => !due.includes(priority));
    return [...due.reverse(), ...rest].flatMap((priority) =>
      this.getQueue(priority)
        .getFirst(limit)
        .map((work) => ({ work, isShareDue: due.includes(priority) })),
    );
  }

  getAhead(work: Work): Work[] {
    const higher = WORK_PRIORITIES.slice(0, WORK_PRIORITIES.indexOf(work.priority));
    const before = higher.flatMap((priority) => this.getQueue(priority).getFirst(Infinity));
    return [...before, ...this.getQueue(work.priority).getAhead(work.customer)];
  }

  getAll(): Work[] {
    return WORK_PRIORITIES.flatMap((priority) => this.getQueue(priority).getFirst(Infinity));
  }

  onPlaced(work: Work, now: number): void {
    const queue = this.getQueue(work.priority);
    queue.advanceTo(work.id);
    queue.remove(work.id);
    this.shares.add(work.priority, getCost(work), now);
  }

  getShareAbove(priority: WorkPriority): number {
    const higher = WORK_PRIORITIES.slice(0, WORK_PRIORITIES.indexOf(priority));
    return higher.reduce((sum, each) => sum + this.shares.getShare(each), 0);
  }

  private isShareDue(priority: WorkPriority): boolean {
    const queue = this.getQueue(priority);
    if (priority === WORK_PRIORITIES[0] || queue.size === 0) return false;
    return this.shares.getShare(priority) < this.minimumShares()[priority] * SHARE_MARGIN;
  }

  private getQueue(priority: WorkPriority): CustomerQueue {
    return this.queues.get(priority) ?? new CustomerQueue();
  }
}
