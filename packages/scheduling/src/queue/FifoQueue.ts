import type { Work } from '../workload/index.js';
import type { QueueCandidate, WorkQueue } from './WorkQueue.js';

/** Baseline policy: first come, first served, regardless of priority and customer. */
export class FifoQueue implements WorkQueue {
  private readonly works = new Map<string, Work>();

  get size(): number {
    return this.works.size;
  }

  add(work: Work): void {
    this.works.set(work.id, work);
  }

  remove(id: string): boolean {
    return this.works.delete(id);
  }

  getCandidates(): QueueCandidate[] {
    const [first] = this.works.values();
    return first ? [{ work: first, isBelowMinimumShare: false }] : [];
  }

  getAhead(work: Work): Work[] {
    return this.getAll().filter((other) => other.id !== work.id);
  }

  getAll(): Work[] {
    return [...this.works.values()];
  }

  onPlaced(work: Work): void {
    this.works.delete(work.id);
  }

  getHigherPriorityShare(): number {
    return 0;
  }
}
