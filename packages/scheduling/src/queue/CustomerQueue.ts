import { getCost } from '../workload/index.js';
import type { WorkItem } from '../workload/index.js';

interface TaggedWorkItem {
  work: WorkItem;
  /** Start tag, in virtual time. */
  start: number;
}

/**
 * Work items of one priority, shared fairly among customers by token cost (start-time fair
 * queueing).
 * @remarks A customer that returns after an idle period starts at the current virtual time: it
 * gets no credit for the idle period.
 */
export class CustomerQueue {
  private tagged: TaggedWorkItem[] = [];

  private readonly lastFinish = new Map<string, number>();

  private virtualTime = 0;

  get size(): number {
    return this.tagged.length;
  }

  add(work: WorkItem): void {
    const start = Math.max(this.virtualTime, this.lastFinish.get(work.customer) ?? 0);
    this.lastFinish.set(work.customer, start + getCost(work) / work.weight);
    const index = this.tagged.findIndex((other) => other.start > start);
    this.tagged.splice(index === -1 ? this.tagged.length : index, 0, { work, start });
  }

  /** Removes a work item; later items of the same customer keep their tags. */
  remove(id: string): WorkItem | undefined {
    const index = this.tagged.findIndex(({ work }) => work.id === id);
    if (index === -1) return undefined;
    const [removed] = this.tagged.splice(index, 1);
    if (this.tagged.length === 0) this.lastFinish.clear();
    return removed?.work;
  }

  /** Returns to the customer the virtual time charged for a refused or cancelled work item. */
  refund(work: WorkItem): void {
    const finish = this.lastFinish.get(work.customer);
    if (finish === undefined) return;
    this.lastFinish.set(work.customer, finish - getCost(work) / work.weight);
  }

  /** Advances the virtual time to the start tag of a work item that is being placed. */
  advanceVirtualTime(id: string): void {
    const tagged = this.tagged.find(({ work }) => work.id === id);
    if (tagged) this.virtualTime = Math.max(this.virtualTime, tagged.start);
  }

  getFirst(limit: number): WorkItem[] {
    return this.tagged.slice(0, limit).map(({ work }) => work);
  }

  /** Gets the work items that would be served before a new one of the given customer. */
  getAhead(customer: string): WorkItem[] {
    const start = Math.max(this.virtualTime, this.lastFinish.get(customer) ?? 0);
    return this.tagged.filter((other) => other.start <= start).map(({ work }) => work);
  }
}
