/** Runs asynchronous critical sections one at a time, in call order. */
export class Mutex {
  private tail: Promise<unknown> = Promise.resolve();

  /** Runs a section after all earlier ones have settled, whether they resolved or rejected. */
  run<T>(section: () => Promise<T>): Promise<T> {
    const result = this.tail.then(section);
    this.tail = result.catch(() => undefined);
    return result;
  }
}
