import type { Customer, Route } from '../configuration/index.js';
import type { Exchange } from './Exchange.js';
import type { PlacementRequest } from './Placement.js';
import type { RequestMetadata } from './EntryProtocol.js';
import type { ProcessLifetime } from './ProcessLifetime.js';

/** What is known about a request once its route is found and its body is read. */
export interface RequestContextOptions {
  exchange: Exchange;
  metadata: RequestMetadata;
  route: Route;
  service: string;
  customer: Customer | undefined;
  body: Buffer;
  lifetime: ProcessLifetime;
}

/** The placement of an attempt, as it is logged. */
export interface PlacementSummary {
  upstream: string;
  helpers: number;
  /** True if a scheduler, which sees the requests of all entry processes, decided it. */
  isScheduled: boolean;
  /** The scheduler's estimate of the time to the first event in milliseconds. */
  expectedMs: number | undefined;
}

/** State of a request during one or more attempts at upstreams. */
export class RequestContext {
  /** Monotonic time in milliseconds at which the final response is due. */
  readonly deadlineAt: number;

  /** Aborted when the client disconnects, the deadline passes, or by `abort`. */
  readonly signal: AbortSignal;

  /** Id of the last event of the stream that the client has received. */
  lastEventId: string | undefined;

  /** Media type of the stream that the client receives, once its head has been sent. */
  streamType: string | undefined;

  /** Milliseconds from the arrival of the request to the first event for the client. */
  firstEventMs: number | undefined;

  /** Milliseconds from the start of the last attempt that had an event to its first event. */
  observedMs: number | undefined;

  /** Longest time in ms between two received chunks with events; includes the gap of a retry. */
  longestPauseMs = 0;

  /** Requests per second that the last upstream accepts from all entry processes together. */
  upstreamLimit: number | undefined;

  private placementSummary: PlacementSummary | undefined;

  private previousEventAt = 0;

  private readonly excluded = new Set<string>();

  private readonly abortController = new AbortController();

  private readonly deadlineTimer: NodeJS.Timeout;

  private runCount = 0;

  private attemptCount = 0;

  constructor(private readonly options: RequestContextOptions) {
    const { exchange, metadata, route } = options;
    this.deadlineAt =
      exchange.startedAt + Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
    this.lastEventId = metadata.lastEventId;
    this.deadlineTimer = setTimeout(
      () => this.abort(new Error('time is over')),
      Math.max(0, this.deadlineMs),
    );
    this.signal = AbortSignal.any([this.abortController.signal, exchange.disconnectSignal]);
  }

  get exchange(): Exchange {
    return this.options.exchange;
  }

  get route(): Route {
    return this.options.route;
  }

  get service(): string {
    return this.options.service;
  }

  get body(): Buffer {
    return this.options.body;
  }

  /** Tokens of the prompt; 0 for requests without one. */
  get promptTokens(): number {
    return this.options.metadata.promptTokens ?? 0;
  }

  /** Names of the parts that the prompt may share with others for the service, for findings. */
  get parts(): string[] {
    return this.options.metadata.sharedParts.map((part) => `${this.service}/${part}`);
  }

  /** Id of this attempt of the client, logged as `request`. */
  get clientAttemptId(): string | undefined {
    return this.options.metadata.clientAttemptId;
  }

  get customerName(): string | undefined {
    return this.options.customer?.name;
  }

  /** Priority of the request; 0 is the most urgent. */
  get priority(): number {
    return this.options.customer?.priority ?? this.options.route.priority;
  }

  /** Milliseconds until the client's deadline. */
  get deadlineMs(): number {
    return this.deadlineAt - performance.now();
  }

  /** Milliseconds until the final response: until the deadline, or the end of service before it. */
  get remainingMs(): number {
    return Math.min(this.deadlineMs, this.options.lifetime.serviceMs);
  }

  /** Milliseconds until the client leaves unless an event arrives; undefined if not known. */
  private get patienceMs(): number | undefined {
    const { patienceMs } = this.route;
    if (patienceMs === undefined) return undefined;
    const lastHeardAt = Math.max(this.exchange.startedAt, this.previousEventAt);
    return Math.max(0, lastHeardAt + patienceMs - performance.now());
  }

  /** Milliseconds since the last event arrived; infinite before the first one. */
  get quietMs(): number {
    return this.previousEventAt === 0 ? Infinity : performance.now() - this.previousEventAt;
  }

  /** Number of upstreams that may have executed the request. */
  get runs(): number {
    return this.runCount;
  }

  /** Number of attempts: the request was sent to an upstream, or a helper granted no memory. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** True if the request may be executed more than once. */
  get isRetryable(): boolean {
    const { kind, isResumable } = this.options.route;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  /** Counts a send to an upstream, which may execute it, and excludes the upstream from retries. */
  recordSend(upstreamId: string): void {
    this.excluded.add(upstreamId);
    this.attemptCount += 1;
    this.runCount += 1;
  }

  /** Counts an attempt that sent nothing, as a helper granted no memory; excludes its upstream. */
  recordFailedPlacement(upstreamId: string): void {
    this.excluded.add(upstreamId);
    this.attemptCount += 1;
  }

  /** Excludes an upstream from further placements of the request. */
  exclude(upstreamId: string): void {
    this.excluded.add(upstreamId);
  }

  /** Reverts the run counted by `recordSend`: the upstream certainly did not execute the request. */
  revertRunCount(): void {
    this.runCount -= 1;
  }

  /** The placement of the last attempt, as it is logged. */
  get lastPlacement(): PlacementSummary | undefined {
    return this.placementSummary;
  }

  recordPlacement(placement: PlacementSummary): void {
    this.placementSummary = placement;
  }

  /** Records the arrival of a chunk from the upstream that completes one or more events. */
  recordEvents(): void {
    const now = performance.now();
    if (this.firstEventMs === undefined) this.firstEventMs = now - this.exchange.startedAt;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.previousEventAt);
    this.previousEventAt = now;
  }

  /** Records the time from the start of an attempt to its first event. */
  recordFirstEvent(observedMs: number): void {
    this.observedMs = observedMs;
  }

  /** Gets the input for the placement of the next attempt. */
  getPlacementRequest(): PlacementRequest {
    const { metadata, route } = this.options;
    return {
      clientAttemptId: metadata.clientAttemptId ?? '',
      service: this.service,
      route,
      promptTokens: this.promptTokens,
      maxOutputTokens: metadata.maxOutputTokens ?? 0,
      remainingMs: this.remainingMs,
      patienceMs: this.patienceMs,
      isResumption: this.firstEventMs !== undefined,
      waitedMs: this.exchange.elapsedMs,
      priority: this.priority,
      customer: this.customerName,
      parts: this.parts,
      excluded: this.excluded,
    };
  }

  /** Ends the request before its deadline. */
  abort(reason: Error): void {
    this.abortController.abort(reason);
  }

  /** Clears the timer of the deadline. */
  close(): void {
    clearTimeout(this.deadlineTimer);
  }
}
