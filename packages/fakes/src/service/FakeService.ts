import { randomUUID } from 'node:crypto';
import { appendFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import { Announcer } from '../harness/Announcer.js';
import { readBody, sendJson } from '../harness/http.js';

/** Settings of a fake service. */
export const fakeServiceSchema = z.strictObject({
  kind: z.literal('service'),
  id: z.string(),
  dataCentre: z.string(),
  pool: z.string(),
  port: z.int(),
  entries: z.array(z.string()).min(1),
  secret: z.string(),
  delayMs: z.number().default(5),
  /** Fraction of calls that run but whose response is lost. */
  lossRate: z.number().default(0),
  /** Fraction of calls that are refused and marked as not run. */
  refusalRate: z.number().default(0),
  announceMs: z.number().default(400),
  /** File to which each run is appended before the response is sent. */
  runFile: z.string().optional(),
});

export type FakeServiceSettings = z.infer<typeof fakeServiceSchema>;

/** Statistics of a fake service that tests check. */
export interface FakeServiceStats {
  id: string;
  /** Number of runs by method, path and body of the call. */
  runs: Record<string, number>;
  /**
   * Longest time in milliseconds between the announced departure and a later call, counted from the
   * time at which an entry process accepted the announcement or the service gave up announcing it.
   */
  startAfterLeaveMs: number;
}

/** Simulates an HTTP service whose calls must not be repeated, such as bookings. */
export class FakeService {
  private readonly server: Server;

  private readonly announcer: Announcer;

  private readonly incarnation = randomUUID();

  private readonly runCounts: Record<string, number> = {};

  private runningCalls = 0;

  private departedAt: number | undefined;

  private startAfterLeaveMs = 0;

  constructor(private readonly settings: FakeServiceSettings) {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.announcer = new Announcer(settings, () => ({
      incarnation: this.incarnation,
      kind: 'service',
      pool: settings.pool,
      address: `http://127.0.0.1:${settings.port}`,
      load: { ageMs: 0, running: this.runningCalls, queuedTokens: 0 },
    }));
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.settings.port, '127.0.0.1', resolve);
    });
    this.announcer.run().catch(() => undefined);
  }

  async stop(): Promise<void> {
    this.announcer.stop();
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  getStats(): FakeServiceStats {
    const { startAfterLeaveMs, runCounts } = this;
    return { id: this.settings.id, runs: runCounts, startAfterLeaveMs };
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/fake/stats') {
      sendJson(response, 200, this.getStats());
      return;
    }
    if (request.url === '/fake/leave') {
      await this.announcer.leave();
      this.departedAt = performance.now();
      sendJson(response, 200, {});
      return;
    }
    await this.handleCall(request, response);
  }

  private async handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readBody(request)).toString();
    if (Math.random() < this.settings.refusalRate) {
      response.setHeader(OUTCOME_HEADER, 'not-run');
      sendJson(response, 503, { error: 'busy' });
      return;
    }
    const sinceLeaveMs = this.departedAt === undefined ? 0 : performance.now() - this.departedAt;
    this.startAfterLeaveMs = Math.max(this.startAfterLeaveMs, sinceLeaveMs);
    const name = `${request.method} ${request.url} ${body}`;
    this.runCounts[name] = (this.runCounts[name] ?? 0) + 1;
    // Set by the clients of the harness; not the header `x-attempt-id` of the platform.
    const attempt = String(request.headers['x-attempt'] ?? '');
    const { runFile } = this.settings;
    if (runFile)
      appendFileSync(
        runFile,
        `${JSON.stringify({ name, attempt, isStale: false, sinceLeaveMs })}\n`,
      );
    this.runningCalls += 1;
    await sleep(this.settings.delayMs);
    this.runningCalls -= 1;
    if (Math.random() < this.settings.lossRate) response.destroy();
    else sendJson(response, 200, { service: this.settings.id, ran: name });
  }
}
