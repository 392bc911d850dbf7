import { PromptClient } from '../load/index.js';
import type { PromptResult, Random } from '../load/index.js';
import { DEPARTURE_LIMIT_MS, readRuns } from './Bookings.js';
import type { Checks } from './Checks.js';

const DEADLINE_MS = 20_000;
/** Time for an answer in time to reach and be read by a busy client. */
const READ_GRACE_MS = 1000;
/** Ends of a connection without the system's word. */
const CUT_CODES = ['cut', 'ECONNRESET', 'EPIPE'];
const KEYS = ['key-dispatch', 'key-planning', 'key-engineering'];

/** Prompts of all lengths, some of whose callers leave. */
export class Prompts {
  readonly kinds: Record<string, number> = {};

  private readonly client = new PromptClient();

  private readonly notRun = new Set<string>();

  constructor(
    private readonly random: Random,
    private readonly getUrl: () => string,
    private readonly checks: Checks,
    /** Tells whether the process at a URL is stopping in good order. */
    private readonly isStopping: (url: string) => boolean,
  ) {}

  /** Sends one prompt and checks its answer. */
  async send(): Promise<void> {
    const isLong = this.random.next() < 0.05;
    const leaves = this.random.next() < 0.05;
    const url = this.getUrl();
    const result = await this.client.send({
      url,
      key: this.random.pick(KEYS),
      name: `prompt ${this.random.next()}`,
      promptTokens: isLong
        ? this.random.nextInteger(30_000, 150_000)
        : this.random.nextInteger(50, 3000),
      maxTokens: this.random.nextInteger(1, 60),
      headers: { 'azurecart-deadline-ms': String(DEADLINE_MS) },
      timeoutMs: leaves ? 150 : DEADLINE_MS * 2,
    });
    this.kinds[result.kind] = (this.kinds[result.kind] ?? 0) + 1;
    this.check(result);
    if (this.isStopping(url)) this.checkNotCut(result);
  }

  /** Checks that what was told not to have run is not among the engines' runs. */
  async checkRuns(files: string[]): Promise<void> {
    for (const { name, isStale, sinceLeaveMs } of await readRuns(files)) {
      const request = name.split('.')[0] ?? '';
      this.checks.check('not-run-prompt-did-not-run', !this.notRun.has(request), () => request);
      this.checks.check('no-start-under-an-old-fence', !isStale, () => name);
      const isInTime = sinceLeaveMs <= DEPARTURE_LIMIT_MS;
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

  private checkNotCut({ kind, code, id }: PromptResult): void {
    const isCut = kind === 'failed' && CUT_CODES.includes(code);
    this.checks.check('graceful-stop-cuts-nothing', !isCut, () => `${id}: ${code}`);
  }

  private check(result: PromptResult): void {
    const { kind, totalMs, outcome, id } = result;
    this.checks.check('answer-whole-and-own', kind !== 'wrong', () => id);
    const isInTime = kind !== 'whole' || totalMs <= DEADLINE_MS + READ_GRACE_MS;
    this.checks.check('whole-answer-in-time', isInTime, () => `${id}: ${totalMs} ms`);
    if (outcome === 'not-run') this.notRun.add(id);
  }
}
