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

/** A request on its way through one or more attempts at upstreams. */
export class Job {
  /** Monotonic time in milliseconds at which the final answer is due. */
  readonly dueAt: number;

  /** Aborted when the client leaves or the time is over. */
  readonly signal: AbortSignal;

  /** Id of the last event that the client has. */
  lastEventId: string | undefined;

  private readonly excluded = new Set<string>();

  private readonly timeout: NodeJS.Timeout;

  private runCount = 0;

  private sendCount = 0;

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

  /** The upstream has certainly not run the request. */
  takeBackRun(): void {
    this.runCount -= 1;
  }

  /** Gets what decides on the next upstream. */
  getPlacementRequest(): PlacementRequest {
    const { terms, route } = this.options;
    return {
      requestId: terms.attemptId ?? '',
      service: this.service,
      route,
      promptTokens: terms.promptTokens ?? 0,
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
