/** Wakes the tasks that wait for a change. A task checks its condition before it waits. */
export class Signal {
  private readonly waiting = new Set<() => void>();

  /** Wakes all waiting tasks. */
  notify(): void {
    const wake = [...this.waiting];
    this.waiting.clear();
    wake.forEach((resume) => resume());
  }

  /**
   * Waits for the next notification.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  wait(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = (): void => {
        this.waiting.delete(resume);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(resume, timeoutMs);
      this.waiting.add(resume);
    });
  }
}
