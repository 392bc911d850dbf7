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
  /** Output tokens per event; if set, the output tokens of a request decide its number of events. */
  tokensPerEvent?: number;
  /** Time that a request without prompt tokens takes, in milliseconds. */
  workMs?: number;
  capacity?: number;
  /** Address to announce instead of the runner's own, such as that of a relay. */
  announcedAddress?: string;
  host?: string;
  /** Ids of the prompt parts that end the runner when it begins to answer a prompt with one. */
  deadlyParts?: ReadonlySet<string>;
  /** Called with the parts of such a prompt after it has ended the runner. */
  onCrash?: (parts: string) => void;
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
  | 'unresponsive'
  /** Executes the request, then resets the connection without an answer. */
  | 'answerLost'
  /** Closes the connection in the middle of an answer. */
  | 'truncating'
  /** Sends bytes that are not an HTTP response. */
  | 'garbled'
  /** Sends an answer to another request after each complete answer. */
  | 'duplicating'
  /** Waits before it answers. */
  | 'late';

/** A request that a runner received. */
export interface RecordedRequest {
  headers: NodeJS.Dict<string | string[]>;
  path: string;
  method: string;
  body: string;
  /** Monotonic time of the arrival in milliseconds. */
  receivedAt: number;
  /** Monotonic time at which the runner stopped to work on the request. */
  endedAt: number | undefined;
  /** `completed` is an answer sent in full, `aborted` one that the other side has cut off. */
  ending: 'running' | 'rejected' | 'completed' | 'failed' | 'brokenOff' | 'aborted';
  /** True if the head of the answer said that the runner leaves. */
  saysThatItLeaves?: boolean;
}

/** Gets the answer of a runner to a request without prompt tokens. */
export function getCallAnswer(attemptId: string, body: string): string {
  return `${attemptId} ${body} `.padEnd(CALL_ANSWER_BYTES, '.');
}

const DEFAULT_HOST = '127.0.0.1';
const DEFAULT_EVENT_COUNT = 6;
const DEFAULT_CAPACITY = 8;
const DEFAULT_WORK_MS = 20;
const LATE_MS = 2500;
const ANNOUNCEMENT_TIMEOUT_MS = 5000;
const CALL_ANSWER_BYTES = 800;

/**
 * Simulates a model runner of the users' platform according to its published protocol: decode passes
 * of several steps, memory reservations, prefill helpers and failures.
 */
export class FakeRunner {
  readonly recordedRequests: RecordedRequest[] = [];

  readonly reservations: MemoryReservations;

  behaviour: RunnerBehaviour = 'normal';

  /** Requests per second, named in each answer, that the runner accepts from all callers together. */
  requestsPerSecond: number | undefined;

  /** True if the runner says in each answer that it leaves. */
  isLeaving = false;

  /** Milliseconds for which the runner, which rejects all requests, wants none from the caller. */
  retryAfterMs: number | undefined;

  /** Monotonic time in milliseconds until which the runner says that it is cold. */
  coldUntil = -Infinity;

  private readonly server: Server;

  private readonly latencyModel: LatencyModel;

  private readonly startedAt = Date.now();

  private sequence = 0;

  private prefillEndsAt = 0;

  private decodingCount = 0;

  private runningCount = 0;

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
      runner.server.listen(0, options.host ?? DEFAULT_HOST, resolve);
    });
    return runner;
  }

  get id(): string {
    return this.options.id;
  }

  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Announces the runner to a control process and waits for the acknowledgement. */
  async announce(control: string, state: 'ready' | 'draining' = 'ready'): Promise<void> {
    const { id, service, dataCentre, capacity = DEFAULT_CAPACITY, announcedAddress } = this.options;
    this.sequence += 1;
    const response = await fetch(`http://${control}/api/instances/${id}`, {
      method: 'PUT',
      signal: AbortSignal.timeout(ANNOUNCEMENT_TIMEOUT_MS),
      body: JSON.stringify({
        Service: service,
        Address: announcedAddress ?? this.address,
        Zone: dataCentre,
        Version: 'v1',
        Capacity: capacity,
        State: state,
        ColdRemainingMs: Math.max(0, Math.round(this.coldUntil - performance.now())),
        Sequence: this.sequence,
        born: this.startedAt,
      }),
    });
    if (!response.ok) throw new Error(`the announcement failed with status ${response.status}`);
  }

  /** Tells a control process that the runner leaves, and waits for the acknowledgement. */
  async leave(control: string): Promise<void> {
    const response = await fetch(`http://${control}/api/instances/${this.options.id}`, {
      method: 'DELETE',
      signal: AbortSignal.timeout(ANNOUNCEMENT_TIMEOUT_MS),
      body: JSON.stringify({ born: this.startedAt }),
    });
    if (!response.ok) throw new Error(`the departure failed with status ${response.status}`);
  }

  stop(): void {
    this.recordedRequests.forEach((record) => endRequest(record, 'brokenOff'));
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      request.resume();
      response.writeHead(421, { 'x-not-executed': '1' }).end();
    } else if (request.url === '/api/report') {
      if (!this.isUnresponsive()) response.writeHead(200).end('{}');
    } else if (request.url === '/healthz') {
      response.writeHead(200, { 'x-instance-id': this.options.id }).end();
    } else if (request.url === '/api/order') {
      const status = this.reservations.execute((await json(request)) as ReservationCommand);
      if (!this.isUnresponsive())
        response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
    } else await this.execute(request, response);
  }

  /** Executes a request of a client, and records it. */
  private async execute(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await buffer(request)).toString();
    const record: RecordedRequest = {
      headers: request.headers,
      path: request.url ?? '',
      method: request.method ?? '',
      body,
      receivedAt: performance.now(),
      endedAt: undefined,
      ending: 'running',
    };
    this.recordedRequests.push(record);
    response.once('close', () =>
      endRequest(record, response.writableFinished ? 'completed' : 'aborted'),
    );
    const { capacity = DEFAULT_CAPACITY } = this.options;
    if (this.isUnresponsive()) return;
    this.runningCount += 1;
    try {
      if (this.behaviour === 'late') await sleep(LATE_MS);
      if (response.destroyed) return;
      if (this.retryAfterMs !== undefined) this.reject(request, response, record);
      else if (request.headers['x-token-usage'] !== undefined)
        await this.runPrompt(request, response, record);
      else if (this.behaviour === 'full' || this.runningCount > capacity * 2)
        this.reject(request, response, record);
      else await this.runCall(request, response, record);
    } finally {
      this.runningCount -= 1;
    }
  }

  private fail(request: IncomingMessage, response: ServerResponse, record: RecordedRequest): void {
    endRequest(record, 'failed');
    response
      .writeHead(500, {
        ...this.getResponseHeaders(request),
        'x-response-signature': this.options.id,
      })
      .end('failed');
  }

  private reject(
    request: IncomingMessage,
    response: ServerResponse,
    record: RecordedRequest,
  ): void {
    endRequest(record, 'rejected');
    response.writeHead(503, { ...this.getResponseHeaders(request), 'x-not-executed': '1' }).end();
  }

  private getResponseHeaders(request: IncomingMessage) {
    const { requestsPerSecond, isLeaving, retryAfterMs } = this;
    const record = this.recordedRequests.findLast(({ headers }) => headers === request.headers);
    if (record) record.saysThatItLeaves = isLeaving;
    return {
      'x-attempt-id': request.headers['x-attempt-id'],
      ...(requestsPerSecond === undefined ? {} : { 'server-limit': String(requestsPerSecond) }),
      ...(isLeaving ? { 'server-leaving': '1' } : {}),
      ...(retryAfterMs === undefined ? {} : { 'retry-after': String(retryAfterMs / 1000) }),
    };
  }

  /** Ends an answer as the simulated failure does; false if there is none. */
  private breakOff(request: IncomingMessage, record: RecordedRequest): boolean {
    const { socket } = request;
    if (this.behaviour === 'answerLost' || this.behaviour === 'reset') {
      endRequest(record, 'brokenOff');
      socket.resetAndDestroy();
    } else if (this.behaviour === 'truncating') {
      endRequest(record, 'brokenOff');
      socket.destroySoon();
    } else if (this.behaviour === 'garbled') {
      endRequest(record, 'brokenOff');
      socket.end('these bytes are not an answer\r\n\r\n');
    } else return false;
    return true;
  }

  private async runCall(
    request: IncomingMessage,
    response: ServerResponse,
    record: RecordedRequest,
  ): Promise<void> {
    await sleep(this.options.workMs ?? DEFAULT_WORK_MS);
    if (response.destroyed) return;
    if (this.behaviour === 'failing') {
      this.fail(request, response, record);
      return;
    }
    const answer = getCallAnswer(String(request.headers['x-attempt-id']), record.body);
    if (this.behaviour === 'truncating') {
      response.writeHead(200, {
        ...this.getResponseHeaders(request),
        'x-response-signature': this.options.id,
        'content-length': answer.length,
      });
      response.write(answer.slice(0, answer.length / 2));
    }
    if (this.breakOff(request, record)) return;
    response.writeHead(200, {
      ...this.getResponseHeaders(request),
      'x-response-signature': this.options.id,
      'content-length': answer.length,
    });
    response.end(answer);
    if (this.behaviour !== 'duplicating') return;
    const extra = `HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-response-signature: ${this.options.id}\r\ncontent-length: 5\r\n\r\nother`;
    request.socket.write(extra);
  }

  private async runPrompt(
    request: IncomingMessage,
    response: ServerResponse,
    record: RecordedRequest,
  ): Promise<void> {
    // x-token-usage is `<prompt tokens>,<output tokens>`; x-helpers lists helpers as `<address>`, or as
    // `<address>/<ticket>` if memory is reserved on them.
    const tokens = Number(String(request.headers['x-token-usage'] ?? '0').split(',')[0]);
    const helpers = String(request.headers['x-helpers'] ?? '')
      .split(',')
      .filter(Boolean);
    const reservedHelperCount = helpers.filter((helper) => helper.includes('/')).length;
    const ownTokens = tokens / (reservedHelperCount + 1);
    if (this.behaviour === 'full' || ownTokens > this.reservations.freeTokens)
      this.reject(request, response, record);
    else if (this.behaviour === 'failing') this.fail(request, response, record);
    else {
      await this.prefill(tokens, helpers.length + 1);
      // The runner may have become unresponsive during the prefill.
      if (this.isUnresponsive() || response.destroyed) return;
      if (this.behaviour === 'garbled' || this.behaviour === 'answerLost')
        this.breakOff(request, record);
      else await this.decode(request, response, record);
    }
  }

  /** Ends the runner; the connections of all its requests are reset. */
  private crash(request: IncomingMessage, record: RecordedRequest): void {
    endRequest(record, 'brokenOff');
    this.stop();
    this.options.onCrash?.(String(request.headers['x-prefix-hash']));
  }

  /** Tells whether a prompt has a deadly part; the last part counts as the request's own. */
  private hasDeadlyPart({ headers }: IncomingMessage): boolean {
    const parts = String(headers['x-prefix-hash'] ?? '').split(',');
    return parts
      .slice(0, -1)
      .some((part) => this.options.deadlyParts?.has(part.split(':')[0] ?? ''));
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
    record: RecordedRequest,
  ): Promise<void> {
    const { id, tokensPerEvent, eventCount: fixedCount = DEFAULT_EVENT_COUNT } = this.options;
    const outputTokens = Number(String(request.headers['x-token-usage']).split(',')[1]);
    const eventCount = tokensPerEvent ? Math.ceil(outputTokens / tokensPerEvent) : fixedCount;
    const firstEvent = Number(request.headers['last-event-id'] ?? 0) + 1;
    const halfCount = Math.ceil(eventCount / 2);
    response.writeHead(200, {
      ...this.getResponseHeaders(request),
      'content-type': 'text/event-stream',
      'x-response-signature': id,
    });
    if (this.hasDeadlyPart(request)) {
      response.flushHeaders();
      this.crash(request, record);
      return;
    }
    this.decodingCount += 1;
    try {
      for (let event = firstEvent; event <= eventCount; event += 1) {
        await sleep(this.latencyModel.getPassMs(this.decodingCount, 0));
        if (response.destroyed) return;
        const data = `${id} ${request.headers['x-attempt-id']} ${event}/${eventCount}`;
        response.write(`id: ${event}\ndata: ${data}\n\n`);
        if (event === halfCount && this.behaviour === 'stalled') return;
        if (event === halfCount && this.breakOff(request, record)) return;
      }
    } finally {
      this.decodingCount -= 1;
    }
    response.end();
  }
}

/** Records the end of a request unless it has ended before. */
function endRequest(record: RecordedRequest, ending: RecordedRequest['ending']): void {
  if (record.ending !== 'running') return;
  Object.assign(record, { ending, endedAt: performance.now() });
}
