import { write } from 'node:fs';

/** Destination and queue length of a BoundedOutput. */
export interface BoundedOutputOptions {
  /** File descriptor; standard output by default. */
  descriptor?: number;
  /** Maximum number of queued lines. */
  capacity?: number;
}

const STANDARD_OUTPUT = 1;
const MAX_QUEUED_LINES = 2000;
/** Bunyan's level for warnings. */
const LEVEL_WARN = 40;
/** Delay in milliseconds before a write that failed with EAGAIN is retried. */
const RETRY_MS = 50;

/**
 * Writes lines without blocking the event loop. Drops lines while the queue is full, and then writes
 * a line with their number in the field `dropped`.
 */
export class BoundedOutput {
  private queue: string[] = [];

  private dropped = 0;

  private isWriting = false;

  private readonly flushResolvers: (() => void)[] = [];

  constructor(private readonly options: BoundedOutputOptions = {}) {}

  /** Queues a line, or drops it if the queue is full. */
  write(line: string): void {
    if (this.queue.length >= (this.options.capacity ?? MAX_QUEUED_LINES)) this.dropped += 1;
    else this.queue.push(line);
    this.writeQueue();
  }

  /** Resolves when the queue is empty: its lines were written, or lost to a write error. */
  flush(): Promise<void> {
    if (this.queue.length === 0 && !this.isWriting) return Promise.resolve();
    return new Promise((resolve) => {
      this.flushResolvers.push(resolve);
    });
  }

  private writeQueue(): void {
    if (this.isWriting) return;
    if (this.queue.length === 0) {
      this.flushResolvers.splice(0).forEach((resolve) => resolve());
      return;
    }
    this.isWriting = true;
    const lines = this.queue;
    this.queue = [];
    if (this.dropped > 0)
      lines.push(`${JSON.stringify({ level: LEVEL_WARN, dropped: this.dropped })}\n`);
    this.dropped = 0;
    this.writeAll(Buffer.from(lines.join('')));
  }

  private writeAll(bytes: Buffer): void {
    write(this.options.descriptor ?? STANDARD_OUTPUT, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') setTimeout(() => this.writeAll(bytes), RETRY_MS);
      else if (!error && written < bytes.length) this.writeAll(bytes.subarray(written));
      else {
        this.isWriting = false;
        this.writeQueue();
      }
    });
  }
}
