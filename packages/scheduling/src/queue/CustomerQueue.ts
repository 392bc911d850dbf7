import { getCost } from '../workload/index.js';
import type { Work } from '../workload/index.js';

interface Tagged {
  work: Work;
  start: number;
}

/**
 * Works of one priority, fair among customers by token cost (start-time fair queueing).
 * @remarks A customer that returns after idling starts at the current virtual time: it gets no
 * credit for the time it asked for nothing.
 */
export class CustomerQueue {
  private tagged: Tagged[] = [];

  private readonly lastFinish = new Map<string, number>();

  private virtualTime = 0;

  get size(): number {
    return this.tagged.length;
  }

  add(work: Work): void {
    const start = Math.max(this.virtualTime, this.lastFinish.get(work.customer) ?? 0);
    this.lastFinish.set(work.customer, start + getCost(work) / work.weight);
    const index = this.tagged.findIndex((other) => other.start > start);
    this.tagged.splice(index === -1 ? this.tagged.length : index, 0, { work, start });
  }

  /** Removes a work; the customer's later works keep their tags. */
  remove(id: string): Work | undefined {
    const index = this.tagged.findIndex(({ work }) => work.id === id);
    if (index === -1) return undefined;
    const [removed] = this.tagged.splice(index, 1);
    if (this.tagged.length === 0) this.lastFinish.clear();
    return removed?.work;
  }

  /** Gets back the virtual time that a refused or cancelled work would have used. */
  refund(work: Work): void {
    const finish = this.lastFinish.get(work.customer);
    if (finish === undefined) return;
    this.lastFinish.set(work.customer, finish - getCost(work) / work.weight);
  }

  /** Tells that a queued work was placed. */
  advanceTo(id: string): void {
    const tagged = this.tagged.find(({ work }) => work.id === id);
    if (tagged) this.virtualTime = Math.max(this.virtualTime, tagged.start);
  }

  getFirst(limit: number): Work[] {
    return this.tagged.slice(0, limit).map(({ work }) => work);
  }

  /** Gets the works that would be served before a new one of a customer. */
  getAhead(customer: string): Work[] {
    const start = Math.max(this.virtualTime, this.lastFinish.get(customer) ?? 0);
    return this.tagged.filter((other) => other.start <= start).map(({ work }) => work);
  }
}
