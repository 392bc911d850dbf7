import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Checks } from './Checks.js';

/** Time after which a leaving upstream may get nothing new, in milliseconds. */
export const DEPARTURE_LIMIT_MS = 3000;

/** Bookings that may not run twice, resent through other entry processes after lost answers. */
export class Bookings {
  sent = 0;

  completed = 0;

  private readonly notRun = new Set<string>();

  constructor(private readonly getUrl: () => string) {}

  /** Sends one booking until it is known to have run, or a few times. */
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

  /** Checks what the services noted. */
  async check(files: string[], checks: Checks): Promise<void> {
    const runs = new Map<string, number>();
    for (const { name, attempt, sinceLeaveMs } of await readRuns(files)) {
      runs.set(name, (runs.get(name) ?? 0) + 1);
      checks.check('not-run-call-did-not-run', !this.notRun.has(attempt), () => attempt);
      const isInTime = sinceLeaveMs <= DEPARTURE_LIMIT_MS;
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

/** What an upstream noted when it began to run something. */
export interface RunNote {
  name: string;
  attempt: string;
  /** True when the fencing number was below the highest one seen. */
  isStale: boolean;
  sinceLeaveMs: number;
}

/** Gets what upstreams noted of their runs. */
export async function readRuns(files: string[]): Promise<RunNote[]> {
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8').catch(() => '')));
  const lines = texts.flatMap((text) => text.split('\n').filter((line) => line !== ''));
  return lines.map((line) => JSON.parse(line) as RunNote);
}
