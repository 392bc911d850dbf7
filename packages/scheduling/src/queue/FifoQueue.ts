import type { Work } from '../workload/index.js';
import type { QueueCandidate, WorkQueue } from './WorkQueue.js';

/** Baseline policy: first come, first served, regardless of priority and customer. */
export class FifoQueue implements WorkQueue {
  private readonly items = new Map<string, Work>();

  get size(): number {
    return this.items.size;
  }

  add(work: Work): void {
    this.items.set(work.id, work);
  }

  remove(id: string): boolean {
    return this.items.delete(id);
  }

  getCandidates(): QueueCandidate[] {
    const [first] = this.items.values();
    return first ? [{ work: first, isBelowMinimumShare: false }] : [];
  }

  getAhead(work: Work): Work[] {
    return this.getAll().filter((other) => other.id !== work.id);
  }

  getAll(): Work[] {
    return [...this.items.values()];
  }

  onPlaced(work: Work): void {
    this.items.delete(work.id);
  }

  getHigherPriorityShare(): number {
    return 0;
  }
}
