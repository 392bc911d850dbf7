/** Runs asynchronous sections one after another, in the order of their calls. */
export class Mutex {
  private tail: Promise<unknown> = Promise.resolve();

  /** Runs a section once all earlier ones have ended. */
  run<T>(section: () => Promise<T>): Promise<T> {
    const result = this.tail.then(section);
    this.tail = result.catch(() => undefined);
    return result;
  }
}
