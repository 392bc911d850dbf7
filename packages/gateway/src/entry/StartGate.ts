import { setTimeout as sleep } from 'node:timers/promises';

/** How long a process that has just started lets requests wait. */
export interface StartGateOptions {
  /** Milliseconds after the start within which requests may wait. */
  openForMs?: number;
  /** Requests that may wait at the same time. */
  capacity?: number;
  now?: () => number;
}

/** Milliseconds in which control processes that start at the same time elect and answer. */
const OPEN_FOR_MS = 1500;
const CAPACITY = 200;
const POLL_MS = 10;

/**
 * Lets requests wait for what a process learns right after its start: the configuration and the
 * upstreams. Later a lack of them is answered at once, for nothing tells when it will end.
 */
export class StartGate {
  private readonly closesAt: number;

  private readonly now: () => number;

  private waiting = 0;

  constructor(private readonly options: StartGateOptions = {}) {
    this.now = options.now ?? (() => performance.now());
    this.closesAt = this.now() + (options.openForMs ?? OPEN_FOR_MS);
  }

  /** Gets a value as soon as there is one; nothing when the gate closes or the signal aborts. */
  async wait<T>(get: () => T | undefined, signal: AbortSignal): Promise<T | undefined> {
    let value = get();
    if (value !== undefined || this.waiting >= (this.options.capacity ?? CAPACITY)) return value;
    this.waiting += 1;
    try {
      while (value === undefined && this.now() < this.closesAt && !signal.aborted) {
        await sleep(POLL_MS);
        value = get();
      }
      return value;
    } finally {
      this.waiting -= 1;
    }
  }
}
