import { write } from 'node:fs';

/** Where lines go and how many may wait. */
export interface BoundedOutputOptions {
  /** File descriptor; standard output by default. */
  descriptor?: number;
  /** Lines that may wait to be written. */
  capacity?: number;
}

const STANDARD_OUTPUT = 1;
const CAPACITY = 2000;
/** Milliseconds after which a descriptor that takes nothing is tried again. */
const RETRY_MS = 50;

/** Writes lines without ever blocking; lines that find no room are dropped and counted. */
export class BoundedOutput {
  private queue: string[] = [];

  private dropped = 0;

  private isWriting = false;

  private readonly drained: (() => void)[] = [];

  constructor(private readonly options: BoundedOutputOptions = {}) {}

  /** Queues a line, or counts it as dropped. */
  write(line: string): void {
    if (this.queue.length >= (this.options.capacity ?? CAPACITY)) this.dropped += 1;
    else this.queue.push(line);
    this.pump();
  }

  /** Resolves when everything queued is written. */
  flush(): Promise<void> {
    if (this.queue.length === 0 && !this.isWriting) return Promise.resolve();
    return new Promise((resolve) => {
      this.drained.push(resolve);
    });
  }

  private pump(): void {
    if (this.isWriting) return;
    if (this.queue.length === 0) {
      this.drained.splice(0).forEach((resolve) => resolve());
      return;
    }
    this.isWriting = true;
    const lines = this.queue;
    this.queue = [];
    if (this.dropped > 0) lines.push(`${JSON.stringify({ level: 40, dropped: this.dropped })}\n`);
    this.dropped = 0;
    this.writeAll(Buffer.from(lines.join('')));
  }

  private writeAll(bytes: Buffer): void {
    write(this.options.descriptor ?? STANDARD_OUTPUT, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') setTimeout(() => this.writeAll(bytes), RETRY_MS);
      else if (!error && written < bytes.length) this.writeAll(bytes.subarray(written));
      else {
        this.isWriting = false;
        this.pump();
      }
    });
  }
}
