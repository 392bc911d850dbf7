/** Tasks that run at each turn of the event loop. */
const TASKS_PER_TURN = 8;

/**
 * Lets the connections that send more than others take turns, a few at each turn of the event loop,
 * so that other connections are read in between.
 */
export class TurnQueue {
  private readonly tasks = new Set<() => void>();

  private isScheduled = false;

  /** Adds a task that runs once at a later turn; a task that waits already is not added again. */
  add(task: () => void): void {
    this.tasks.add(task);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.run());
  }

  private run(): void {
    this.isScheduled = false;
    let count = 0;
    for (const task of this.tasks) {
      if (count === TASKS_PER_TURN) break;
      this.tasks.delete(task);
      task();
      count += 1;
    }
    if (this.tasks.size > 0) this.schedule();
  }
}
