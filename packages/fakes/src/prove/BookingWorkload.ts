import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Checks } from './Checks.js';

/** Time that an upstream may still receive new work after it has announced its leave. */
export const LEAVE_GRACE_MS = 3000;

/**
 * Sends bookings, which must run at most once. A booking whose response is lost is sent again
 * with the same idempotency key, possibly through another entry process.
 */
export class BookingWorkload {
  sent = 0;

  completed = 0;

  private readonly notRun = new Set<string>();

  constructor(private readonly getUrl: () => string) {}

  /** Sends one booking until its outcome is `completed` or `unknown`, at most six times. */
  async send(): Promise<void> {
    this.sent += 1;
    const body = `booking ${this.sent}`;
    for (let attempt = 0; attempt < 6; attempt += 1) {
      const outcome = await this.attempt(body, `${body}/${attempt}`);
      if (outcome === 'completed') this.completed += 1;
      if (outcome === 'completed' || outcome === 'unknown') return;
      await sleep(200);
    }
  }

  /** Checks the run records of the services against the outcomes that the client received. */
  async check(files: string[], checks: Checks): Promise<void> {
    const runs = new Map<string, number>();
    for (const { name, attempt, sinceLeaveMs } of await readRunRecords(files)) {
      runs.set(name, (runs.get(name) ?? 0) + 1);
      checks.check('not-run-call-did-not-run', !this.notRun.has(attempt), () => attempt);
      const isInTime = sinceLeaveMs <= LEAVE_GRACE_MS;
      checks.check('nothing-sent-after-leaving', isInTime, () => `${name}: ${sinceLeaveMs} ms`);
    }
    runs.forEach((count, name) => {
      checks.check('booking-ran-at-most-once', count === 1, () => `${name} ran ${count} times`);
    });
  }

  private async attempt(body: string, attempt: string): Promise<string> {
    try {
      const response = await fetch(`${this.getUrl()}/work-orders/shutoffs`, {
        method: 'POST',
        body,
        headers: {
          authorization: 'Bearer key-planning',
          'idempotency-key': body,
          'x-attempt': attempt,
        },
        signal: AbortSignal.timeout(15_000),
      });
      await response.text();
      const outcome = response.headers.get('azurecart-outcome') ?? 'lost';
      if (outcome === 'not-run') this.notRun.add(attempt);
      return outcome;
    } catch {
      return 'lost';
    }
  }
}

/** Record that a fake upstream writes when it starts to run a request. */
export interface RunRecord {
  name: string;
  attempt: string;
  /** True if the fencing token was lower than the highest one that the upstream had seen. */
  isStale: boolean;
  /**
   * Time since an entry process accepted the announced departure, or the upstream gave up announcing
   * it; 0 if it has not left.
   */
  sinceLeaveMs: number;
}

/** Reads the run records of several upstreams; a missing file counts as empty. */
export async function readRunRecords(files: string[]): Promise<RunRecord[]> {
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8').catch(() => '')));
  const lines = texts.flatMap((text) => text.split('\n').filter((line) => line !== ''));
  return lines.map((line) => JSON.parse(line) as RunRecord);
}
