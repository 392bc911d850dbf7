import { PromptClient } from '../load/index.js';
import type { PromptResult, Random } from '../load/index.js';
import { LEAVE_GRACE_MS, readRunRecords } from './BookingWorkload.js';
import type { Checks } from './Checks.js';

const DEADLINE_MS = 20_000;
/** Time for a busy client to receive and read an answer that was sent before the deadline. */
const READ_GRACE_MS = 1000;
/** Codes of connections that closed without an error event from the server. */
const TRUNCATION_CODES = ['cut', 'ECONNRESET', 'EPIPE'];
const API_KEYS = ['key-dispatch', 'key-planning', 'key-engineering'];

/** Sends prompts of random length; some callers disconnect before the answer is complete. */
export class PromptWorkload {
  readonly resultCounts: Record<string, number> = {};

  private readonly client = new PromptClient();

  private readonly notRun = new Set<string>();

  constructor(
    private readonly random: Random,
    private readonly getUrl: () => string,
    private readonly checks: Checks,
    /** Tells whether the entry process at a URL is shutting down gracefully. */
    private readonly isStopping: (url: string) => boolean,
  ) {}

  /** Sends one prompt and checks its answer. */
  async send(): Promise<void> {
    const isLong = this.random.next() < 0.05;
    const disconnects = this.random.next() < 0.05;
    const url = this.getUrl();
    const result = await this.client.send({
      url,
      key: this.random.pick(API_KEYS),
      name: `prompt ${this.random.next()}`,
      promptTokens: isLong
        ? this.random.nextInteger(30_000, 150_000)
        : this.random.nextInteger(50, 3000),
      maxTokens: this.random.nextInteger(1, 60),
      headers: { 'azurecart-deadline-ms': String(DEADLINE_MS) },
      timeoutMs: disconnects ? 150 : DEADLINE_MS * 2,
    });
    this.resultCounts[result.kind] = (this.resultCounts[result.kind] ?? 0) + 1;
    this.check(result);
    if (this.isStopping(url)) this.checkNotTruncated(result);
  }

  /**
   * Checks the run records of the engines: no prompt reported as not run has run, and none was
   * started under a stale fence or after its engine had left.
   */
  async checkRuns(files: string[]): Promise<void> {
    for (const { name, isStale, sinceLeaveMs } of await readRunRecords(files)) {
      // Engines know a request as `<request id>.<attempt>`.
      const request = name.split('.')[0] ?? '';
      this.checks.check('not-run-prompt-did-not-run', !this.notRun.has(request), () => request);
      this.checks.check('no-start-under-an-old-fence', !isStale, () => name);
      const isInTime = sinceLeaveMs <= LEAVE_GRACE_MS;
      this.checks.check(
        'nothing-sent-after-leaving',
        isInTime,
        () => `${name}: ${sinceLeaveMs} ms`,
      );
    }
  }

  close(): void {
    this.client.close();
  }

  private checkNotTruncated({ kind, code, id }: PromptResult): void {
    const isTruncated = kind === 'failed' && TRUNCATION_CODES.includes(code);
    this.checks.check('graceful-stop-cuts-nothing', !isTruncated, () => `${id}: ${code}`);
  }

  private check(result: PromptResult): void {
    const { kind, totalMs, outcome, id } = result;
    this.checks.check('answer-whole-and-own', kind !== 'wrong', () => id);
    const isInTime = kind !== 'whole' || totalMs <= DEADLINE_MS + READ_GRACE_MS;
    this.checks.check('whole-answer-in-time', isInTime, () => `${id}: ${totalMs} ms`);
    if (outcome === 'not-run') this.notRun.add(id);
  }
}
