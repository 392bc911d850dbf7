import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { json, buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { LatencyModel } from '@azurecart/scheduling';
import type { PerformanceProfile } from '@azurecart/scheduling';
import { MemoryReservations } from './MemoryReservations.js';
import type { ReservationCommand } from './MemoryReservations.js';

/** Options of a fake runner. */
export interface FakeRunnerOptions {
  id: string;
  service: string;
  dataCentre: string;
  profile: PerformanceProfile;
  /** Number of events in each answer. */
  eventCount?: number;
  capacity?: number;
}

/** Normal operation of a runner, or the failure that it simulates. */
export type RunnerBehaviour =
  | 'normal'
  /**
   * Stalls after the middle event without closing the connection. A request that resumes after that
   * event is answered to its end.
   */
  | 'stalled'
  /** Resets the connection after the middle event; resumed requests are treated as by `stalled`. */
  | 'reset'
  /** Rejects the request with status 503 and marks it as not executed. */
  | 'full'
  /** Answers with status 500 and its id in the header `x-response-signature`. */
  | 'failing'
  /** Accepts connections but does not respond. */
  | 'unresponsive';

/** A request that a runner received. */
export interface RecordedRequest {
  headers: NodeJS.Dict<string | string[]>;
  path: string;
}

const DEFAULT_EVENT_COUNT = 6;
const DEFAULT_CAPACITY = 8;

/**
 * Simulates a model runner of the users' platform according to its published protocol: decode passes
 * of several steps, memory reservations, prefill helpers and failures.
 */
export class FakeRunner {
  readonly recordedRequests: RecordedRequest[] = [];

  readonly reservations: MemoryReservations;

  behaviour: RunnerBehaviour = 'normal';

  private readonly server: Server;

  private readonly latencyModel: LatencyModel;

  private readonly startedAt = Date.now();

  private sequence = 0;

  private prefillEndsAt = 0;

  private decodingCount = 0;

  private constructor(private readonly options: FakeRunnerOptions) {
    this.latencyModel = new LatencyModel(options.profile);
    this.reservations = new MemoryReservations(options.profile.kvCacheTokens);
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
  }

  static async start(options: FakeRunnerOptions): Promise<FakeRunner> {
    const runner = new FakeRunner(options);
    await new Promise<void>((resolve) => {
      runner.server.listen(0, '127.0.0.1', resolve);
    });
    return runner;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Announces the runner to a control process and waits for the acknowledgement. */
  async announce(control: string, state: 'ready' | 'draining' = 'ready'): Promise<void> {
    const { id, service, dataCentre, capacity = DEFAULT_CAPACITY } = this.options;
    this.sequence += 1;
    const response = await fetch(`http://${control}/api/instances/${id}`, {
      method: 'PUT',
      body: JSON.stringify({
        Service: service,
        Address: this.address,
        Zone: dataCentre,
        Version: 'v1',
        Capacity: capacity,
        State: state,
        Sequence: this.sequence,
        born: this.startedAt,
      }),
    });
    if (!response.ok) throw new Error(`the announcement failed with status ${response.status}`);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.isUnresponsive()) return;
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      request.resume();
      response.writeHead(421).end();
    } else if (request.url === '/api/report') response.writeHead(200).end('{}');
    else if (request.url === '/api/order') {
      const status = this.reservations.execute((await json(request)) as ReservationCommand);
      response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
    } else await this.runPrompt(request, response);
  }

  private async runPrompt(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await buffer(request);
    this.recordedRequests.push({ headers: request.headers, path: request.url ?? '' });
    // x-token-usage is `<prompt tokens>,<output tokens>`; x-helpers lists helpers as `<address>`, or as
    // `<address>/<ticket>` if memory is reserved on them.
    const tokens = Number(String(request.headers['x-token-usage'] ?? '0').split(',')[0]);
    const helpers = String(request.headers['x-helpers'] ?? '')
      .split(',')
      .filter(Boolean);
    const reservedHelperCount = helpers.filter((helper) => helper.includes('/')).length;
    const ownTokens = tokens / (reservedHelperCount + 1);
    const responseHeaders = { 'x-attempt-id': request.headers['x-attempt-id'] };
    if (this.behaviour === 'full' || ownTokens > this.reservations.freeTokens)
      response.writeHead(503, { ...responseHeaders, 'x-not-executed': '1' }).end();
    else if (this.behaviour === 'failing')
      response
        .writeHead(500, { ...responseHeaders, 'x-response-signature': this.options.id })
        .end('failed');
    else {
      await this.prefill(tokens, helpers.length + 1);
      // The runner may have become unresponsive during the prefill.
      if (this.isUnresponsive()) return;
      await this.decode(request, response, responseHeaders);
    }
  }

  private isUnresponsive(): boolean {
    return this.behaviour === 'unresponsive';
  }

  /** Waits for the prefill of one engine's part of a prompt, queued behind earlier prefills. */
  private async prefill(tokens: number, engineCount: number): Promise<void> {
    const now = performance.now();
    const prefillMs = this.latencyModel.getPrefillMs(tokens) / engineCount;
    this.prefillEndsAt = Math.max(this.prefillEndsAt, now) + prefillMs;
    await sleep(this.prefillEndsAt - now);
  }

  private async decode(
    request: IncomingMessage,
    response: ServerResponse,
    responseHeaders: Record<string, string | string[] | undefined>,
  ): Promise<void> {
    const { id, eventCount = DEFAULT_EVENT_COUNT } = this.options;
    const firstEvent = Number(request.headers['last-event-id'] ?? 0) + 1;
    const halfCount = Math.ceil(eventCount / 2);
    response.writeHead(200, {
      ...responseHeaders,
      'content-type': 'text/event-stream',
      'x-response-signature': id,
    });
    this.decodingCount += 1;
    for (let event = firstEvent; event <= eventCount && !response.destroyed; event += 1) {
      await sleep(this.latencyModel.getPassMs(this.decodingCount, 0));
      response.write(`id: ${event}\ndata: ${id}\n\n`);
      if (event === halfCount && this.behaviour === 'stalled') return;
      if (event === halfCount && this.behaviour === 'reset') request.socket.resetAndDestroy();
    }
    this.decodingCount -= 1;
    response.end();
  }
}
