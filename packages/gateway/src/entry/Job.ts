import type { Customer, Route } from '../configuration/index.js';
import type { Exchange } from './Exchange.js';
import type { PlacementRequest } from './Placement.js';
import type { RequestTerms } from './Wire.js';

/** What is known of a request once its route is found and its body is read. */
export interface JobOptions {
  exchange: Exchange;
  terms: RequestTerms;
  route: Route;
  service: string;
  customer: Customer | undefined;
  body: Buffer;
}

/** Where an attempt went, for logs. */
export interface PlacementSummary {
  upstream: string;
  helpers: number;
  /** True when a scheduler that sees all requests decided it. */
  isScheduled: boolean;
  /** Milliseconds after which the scheduler expected the first event. */
  expectedMs: number | undefined;
}

/** A request on its way through one or more attempts at upstreams. */
export class Job {
  /** Monotonic time in milliseconds at which the final answer is due. */
  readonly dueAt: number;

  /** Aborted when the client leaves or the time is over. */
  readonly signal: AbortSignal;

  /** Id of the last event that the client has. */
  lastEventId: string | undefined;

  /** Milliseconds from the arrival to the first event that reached the client. */
  firstEventMs: number | undefined;

  /** Milliseconds from the last sending to the first event of its answer. */
  observedMs: number | undefined;

  /** Longest time in milliseconds between two events. */
  longestPauseMs = 0;

  private placement: PlacementSummary | undefined;

  private lastEventAt = 0;

  private readonly excluded = new Set<string>();

  private readonly timeout: NodeJS.Timeout;

  private runCount = 0;

  private sendCount = 0;

  private hasRetry = false;

  constructor(private readonly options: JobOptions) {
    const { exchange, terms, route } = options;
    this.dueAt = exchange.startedAt + Math.min(terms.deadlineMs ?? Infinity, route.timeoutMs);
    this.lastEventId = terms.lastEventId;
    const timer = new AbortController();
    this.timeout = setTimeout(
      () => timer.abort(new Error('time is over')),
      Math.max(0, this.remainingMs),
    );
    this.signal = AbortSignal.any([timer.signal, exchange.left]);
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
    return this.options.terms.promptTokens ?? 0;
  }

  get attemptId(): string | undefined {
    return this.options.terms.attemptId;
  }

  get customerName(): string | undefined {
    return this.options.customer?.name;
  }

  /** Rank, 0 first. */
  get priority(): number {
    return this.options.customer?.priority ?? this.options.route.priority;
  }

  get remainingMs(): number {
    return this.dueAt - performance.now();
  }

  /** Upstreams that may have run the request. */
  get runs(): number {
    return this.runCount;
  }

  /** Upstreams that the request was sent to. */
  get sends(): number {
    return this.sendCount;
  }

  /** True when a second run does no harm. */
  get isRepeatable(): boolean {
    const { kind, isResumable } = this.options.route;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  /** Counts a send to an upstream, which may run the request. */
  addSend(upstreamId: string): void {
    this.excluded.add(upstreamId);
    this.sendCount += 1;
    this.runCount += 1;
  }

  /** The upstream could not be used, and nothing was sent to it. */
  addFailedPlacement(upstreamId: string): void {
    this.excluded.add(upstreamId);
    this.sendCount += 1;
  }

  /** Keeps a retry that was taken from the budget. */
  keepRetry(): void {
    this.hasRetry = true;
  }

  /** Uses the kept retry; false when there is none. */
  useRetry(): boolean {
    const { hasRetry } = this;
    this.hasRetry = false;
    return hasRetry;
  }

  /** The request is not to be placed on an upstream. */
  exclude(upstreamId: string): void {
    this.excluded.add(upstreamId);
  }

  /** The upstream has certainly not run the request. */
  takeBackRun(): void {
    this.runCount -= 1;
  }

  /** Where the last attempt went and who decided it, for logs. */
  get lastPlacement(): PlacementSummary | undefined {
    return this.placement;
  }

  addPlacement(placement: PlacementSummary): void {
    this.placement = placement;
  }

  /** Notes that events have come from the upstream. */
  addProgress(): void {
    const now = performance.now();
    if (this.firstEventMs === undefined) this.firstEventMs = now - this.exchange.startedAt;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastEventAt);
    this.lastEventAt = now;
  }

  /** Notes the first event of an attempt. */
  addFirstEvent(observedMs: number): void {
    this.observedMs = observedMs;
  }

  /** Gets what decides on the next upstream. */
  getPlacementRequest(): PlacementRequest {
    const { terms, route } = this.options;
    return {
      requestId: terms.attemptId ?? '',
      service: this.service,
      route,
      promptTokens: this.promptTokens,
      answerTokens: terms.answerTokens ?? 0,
      remainingMs: this.remainingMs,
      waitedMs: this.exchange.elapsedMs,
      priority: this.priority,
      customer: this.customerName,
      excluded: this.excluded,
    };
  }

  /** Ends the job's clock. */
  close(): void {
    clearTimeout(this.timeout);
  }
}
