/**
 * Lets tasks wait for a state change, like a condition variable. Notifications are not stored, so a
 * task must check its condition before it waits.
 */
export class Signal {
  private readonly waiters = new Set<() => void>();

  /** Wakes all waiting tasks. */
  notify(): void {
    const woken = [...this.waiters];
    this.waiters.clear();
    woken.forEach((resume) => resume());
  }

  /**
   * Waits for the next notification or until the timeout elapses.
   * @param timeoutMs - Timeout in milliseconds.
   */
  wait(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = (): void => {
        this.waiters.delete(resume);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(resume, timeoutMs);
      this.waiters.add(resume);
    });
  }
}
