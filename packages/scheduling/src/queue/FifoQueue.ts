import type { WorkItem } from '../workload/index.js';
import type { QueueCandidate, WorkQueue } from './WorkQueue.js';

/** Baseline policy: first come, first served, regardless of priority and customer. */
export class FifoQueue implements WorkQueue {
  private readonly items = new Map<string, WorkItem>();

  get size(): number {
    return this.items.size;
  }

  add(work: WorkItem): void {
    this.items.set(work.id, work);
  }

  remove(id: string): boolean {
    return this.items.delete(id);
  }

  getCandidates(): QueueCandidate[] {
    const [first] = this.items.values();
    return first ? [{ work: first, isBelowMinimumShare: false }] : [];
  }

  /** Gets all other work items, as a new one is served last. */
  getAhead(work: WorkItem): WorkItem[] {
    return this.getAll().filter((other) => other.id !== work.id);
  }

  getAll(): WorkItem[] {
    return [...this.items.values()];
  }

  onPlaced(work: WorkItem): void {
    this.items.delete(work.id);
  }

  getHigherPriorityShare(): number {
    return 0;
  }
}
