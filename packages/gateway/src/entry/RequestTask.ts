import type { IncomingMessage } from 'node:http';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import type { Customer, Route, RoutingTable } from '../configuration/index.js';
import {
  CompletionWatch,
  EventCutter,
  getEndToEndHeaders,
  UpstreamCall,
  UpstreamFault,
} from '../upstreams/index.js';
import type { UpstreamAgent } from '../upstreams/index.js';
import { BodyTooLong, ClientGone } from './Exchange.js';
import type { Exchange } from './Exchange.js';
import type { PlacementRequest, Placer, Reservation } from './Placement.js';
import type { SharedRetryBudget } from './SharedRetryBudget.js';
import type { UpstreamHealth } from './UpstreamHealth.js';
import type { Helper, RequestTerms, Wire } from './Wire.js';

/** What every request's task uses. */
export interface RequestTaskOptions {
  wire: Wire;
  placer: Placer;
  health: UpstreamHealth;
  agent: UpstreamAgent;
  getBudget: (service: string) => SharedRetryBudget;
  random: () => number;
  /** Milliseconds that are left before the process ends; infinite while it is not leaving. */
  getTimeToLive: () => number;
  logger: Logger;
}

/** A request for which the way is known. */
interface Job {
  exchange: Exchange;
  terms: RequestTerms;
  route: Route;
  service: string;
  customer: Customer | undefined;
  body: Buffer;
  /** Monotonic time in milliseconds at which the final answer is due. */
  dueAt: number;
  /** Aborted when the client leaves or the time is over. */
  signal: AbortSignal;
  excluded: Set<string>;
  /** Upstreams that may have run the request. */
  runs: number;
  sends: number;
  lastEventId: string | undefined;
}

/** How one attempt at one upstream ended. */
type AttemptOutcome =
  | { kind: 'done' }
  | { kind: 'notRun'; reason: string }
  /** The upstream ran it and answered with a failure of its own. */
  | { kind: 'failed'; reason: string; answer: WholeAnswer }
  | { kind: 'unknown'; reason: string }
  | { kind: 'refused'; reason: string; retryAfterMs: number };

/** A whole answer of an upstream. */
interface WholeAnswer {
  status: number;
  headers: [string, string][];
  body: Buffer;
}

/** Milliseconds for a new connection to an upstream to be established. */
const CONNECT_TIMEOUT_MS = 300;
/** Sends beyond the attempts that may run, for upstreams that state they did not run a request. */
const EXTRA_SENDS = 2;
/** Milliseconds after which a client may come back when nothing better is known. */
const RETRY_AFTER_MS = 300;
/** Longest answer of an upstream that is held in memory, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Milliseconds after which a client may come back to a process that has just started. */
const START_RETRY_AFTER_MS = 1200;
/** Milliseconds after which a client may come back to another process. */
const LEAVING_RETRY_AFTER_MS = 50;
/** Milliseconds that a leaving process must have left to take a stream, or another request. */
const STREAM_RUN_MS = 4000;
const CALL_RUN_MS = 1000;
const TIMED_OUT = 'time is over';

/** Serves one request from its head to its last byte. */
export class RequestTask {
  constructor(private readonly options: RequestTaskOptions) {}

  /** Runs the task; it never rejects. */
  async run(exchange: Exchange, routing: RoutingTable | undefined): Promise<void> {
    try {
      await this.serve(exchange, routing);
    } catch (error) {
      if (error instanceof ClientGone) return;
      if (error instanceof BodyTooLong) exchange.reply(413, error.message);
      else {
        this.options.logger.error({ err: error }, 'request task failed');
        exchange.reply(500, 'internal error');
      }
    }
  }

  private async serve(exchange: Exchange, routing: RoutingTable | undefined): Promise<void> {
    const { request } = exchange;
    const terms = this.options.wire.readRequest(request.headers);
    if (!routing) {
      await discard(exchange);
      exchange.reply(503, 'no configuration yet', START_RETRY_AFTER_MS);
      return;
    }
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    const route = routing.getRoute(request.headers.host ?? '', path);
    if (!route) {
      await discard(exchange);
      exchange.reply(404, 'no route');
      return;
    }
    const customer = terms.key === undefined ? undefined : routing.getCustomer(terms.key);
    if (routing.needsKeys && !route.isPublic && !customer) {
      await discard(exchange);
      exchange.reply(401, 'unknown key');
      return;
    }
    const body = await exchange.readBody(routing.configuration.limits.maxBodyBytes);
    await this.serveRouted(exchange, { terms, route, customer, body });
  }

  private async serveRouted(
    exchange: Exchange,
    known: Pick<Job, 'terms' | 'route' | 'customer' | 'body'>,
  ): Promise<void> {
    const { terms, route } = known;
    if (this.options.getTimeToLive() < getLongestRun(route)) {
      exchange.reply(503, 'not run: this process is leaving', LEAVING_RETRY_AFTER_MS);
      return;
    }
    const service = chooseService(route, this.options.random());
    const allowedMs = Math.min(terms.deadlineMs ?? Infinity, route.timeoutMs);
    const dueAt = exchange.startedAt + allowedMs;
    const timer = new AbortController();
    const timeout = setTimeout(
      () => timer.abort(new Error(TIMED_OUT)),
      Math.max(0, dueAt - performance.now()),
    );
    this.options.getBudget(service).addRequest();
    const job: Job = {
      ...known,
      exchange,
      service,
      dueAt,
      signal: AbortSignal.any([timer.signal, exchange.left]),
      excluded: new Set(),
      runs: 0,
      sends: 0,
      lastEventId: terms.lastEventId,
    };
    try {
      await this.attempt(job);
    } finally {
      clearTimeout(timeout);
    }
  }

  private async attempt(job: Job): Promise<void> {
    for (;;) {
      const outcome = await this.attemptOnce(job);
      if (outcome.kind === 'done') return;
      const { exchange } = job;
      if (exchange.left.aborted) return;
      this.logOutcome(job, outcome);
      if (this.mayRetry(job, outcome)) continue;
      this.finish(job, outcome);
      return;
    }
  }

  /** Gives the final answer when no further attempt is made. */
  private finish(job: Job, outcome: Exclude<AttemptOutcome, { kind: 'done' }>): void {
    const { exchange, runs } = job;
    if (outcome.kind === 'failed') sendWhole(exchange, outcome.answer);
    else if (exchange.response.headersSent) exchange.cut();
    else if (runs === 0) {
      const retryAfterMs = outcome.kind === 'refused' ? outcome.retryAfterMs : RETRY_AFTER_MS;
      exchange.reply(503, `not run: ${outcome.reason}`, retryAfterMs);
    } else exchange.reply(job.signal.aborted ? 504 : 502, outcome.reason);
  }

  private mayRetry(job: Job, outcome: AttemptOutcome): boolean {
    const { route, signal, runs, sends } = job;
    if (outcome.kind === 'refused' || signal.aborted) return false;
    const isRepeatable =
      route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);
    if (runs > 0 && !isRepeatable) return false;
    if (runs >= route.maxAttempts || sends >= route.maxAttempts + EXTRA_SENDS) return false;
    return this.options.getBudget(job.service).takeRetry();
  }

  private async attemptOnce(job: Job): Promise<AttemptOutcome> {
    const { placer } = this.options;
    const request = getPlacementRequest(job);
    const placement = await placer.place(request, job.signal);
    if (placement.kind === 'refused') return placement;
    const { upstream, helpers, jobId } = placement;
    const reservation = placer.reserve(request, upstream, jobId);
    if (job.signal.aborted) {
      reservation.release(false);
      return { kind: 'notRun', reason: String(job.signal.reason) };
    }
    job.excluded.add(upstream.id);
    job.sends += 1;
    let isBroken = false;
    try {
      const outcome = await this.callUpstream(job, upstream, helpers, reservation);
      isBroken = outcome.kind === 'unknown' && !job.signal.aborted;
      return outcome;
    } finally {
      reservation.release(isBroken);
    }
  }

  private async callUpstream(
    job: Job,
    upstream: UpstreamRecord,
    helpers: Helper[],
    reservation: Reservation,
  ): Promise<AttemptOutcome> {
    const { health } = this.options;
    const call = this.createCall(job, upstream, helpers);
    const abort = (): void => call.abort();
    job.signal.addEventListener('abort', abort);
    try {
      job.runs += 1;
      const response = await call.send();
      return await this.takeAnswer(job, upstream, response, reservation);
    } catch (error) {
      if (!(error instanceof UpstreamFault)) throw error;
      if (!job.signal.aborted && !call.isReused) health.addBreak(upstream.id);
      if (error.isNotRun) job.runs -= 1;
      return { kind: error.isNotRun ? 'notRun' : 'unknown', reason: error.message };
    } finally {
      job.signal.removeEventListener('abort', abort);
      if (job.signal.aborted) call.abort();
    }
  }

  private createCall(job: Job, upstream: UpstreamRecord, helpers: Helper[]): UpstreamCall {
    const { wire, agent } = this.options;
    const { request } = job.exchange;
    const headers = wire.writeRequest(request.rawHeaders, {
      upstreamId: upstream.id,
      customer: job.customer?.name,
      remainingMs: Math.max(1, Math.floor(job.dueAt - performance.now())),
      lastEventId: job.lastEventId,
      priority: job.route.hasPrompt ? getPriority(job) : undefined,
      helpers,
    });
    return new UpstreamCall({
      address: upstream.address,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: getEndToEndHeaders(headers.flat()),
      body: job.body,
      // A reset of a used connection leaves open whether the request ran.
      agent: job.route.kind === 'nonIdempotent' ? undefined : agent,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
  }

  private async takeAnswer(
    job: Job,
    upstream: UpstreamRecord,
    response: IncomingMessage,
    reservation: Reservation,
  ): Promise<AttemptOutcome> {
    const { wire, health } = this.options;
    const status = response.statusCode ?? 0;
    const answer = wire.readAnswer(status, response.headers);
    if (job.terms.attemptId !== undefined && answer.attemptId !== job.terms.attemptId) {
      const isNotRun = answer.isNotRun && answer.attemptId === undefined;
      response.destroy();
      if (!isNotRun) return { kind: 'unknown', reason: 'answer to another request' };
    }
    if (answer.isNotRun) {
      response.resume();
      job.runs -= 1;
      if (status === 421) health.addBreak(upstream.id);
      return { kind: 'notRun', reason: `upstream answered ${status}` };
    }
    const isSuccess = status >= 200 && status < 300;
    if ((isSuccess && !answer.isSigned) || response.headers['content-encoding']) {
      response.destroy();
      health.addBadAnswer(upstream.id);
      return { kind: 'unknown', reason: 'answer without the upstream’s signature' };
    }
    if (isSuccess && job.route.kind === 'stream')
      return this.pumpEvents(job, upstream, response, reservation);
    return this.takeWhole(job, upstream, response);
  }

  private async takeWhole(
    job: Job,
    upstream: UpstreamRecord,
    response: IncomingMessage,
  ): Promise<AttemptOutcome> {
    const { health } = this.options;
    const status = response.statusCode ?? 0;
    const body = await readWhole(response);
    if (!body) {
      if (!job.signal.aborted) health.addBadAnswer(upstream.id);
      return { kind: 'unknown', reason: 'answer cut short' };
    }
    const answer = { status, headers: getEndToEndHeaders(response.rawHeaders), body };
    if (status >= 500) {
      health.addBadAnswer(upstream.id);
      // Without the upstream's word that it did not run, a 503 would promise too much.
      if (status === 503) return { kind: 'unknown', reason: 'upstream answered 503' };
      return { kind: 'failed', reason: `upstream answered ${status}`, answer };
    }
    health.addSuccess(upstream.id);
    sendWhole(job.exchange, answer);
    return { kind: 'done' };
  }

  /** Passes events on as they come, whole ones only. */
  private async pumpEvents(
    job: Job,
    upstream: UpstreamRecord,
    response: IncomingMessage,
    reservation: Reservation,
  ): Promise<AttemptOutcome> {
    const { health } = this.options;
    const { exchange } = job;
    const cutter = new EventCutter();
    const watch = new CompletionWatch(response);
    const isFirstRun = !exchange.response.headersSent;
    const head = getEndToEndHeaders(response.rawHeaders);
    let hasProgress = false;
    try {
      for await (const chunk of response as AsyncIterable<Buffer>) {
        const events = cutter.read(chunk);
        if (events.length === 0) continue;
        if (!exchange.response.headersSent) exchange.writeHead(response.statusCode ?? 200, head);
        if (!hasProgress) reservation.addProgress();
        hasProgress = true;
        await exchange.write(Buffer.concat(events.map((event) => event.bytes)));
        job.lastEventId = events.at(-1)?.id ?? job.lastEventId;
      }
    } catch (error) {
      if (!job.signal.aborted) health.addBadAnswer(upstream.id);
      return { kind: 'unknown', reason: `stream broke off: ${String(error)}` };
    }
    if (!(await watch.isWhole()) || job.signal.aborted)
      return { kind: 'unknown', reason: 'stream broke off' };
    if (cutter.hasPartial) return { kind: 'unknown', reason: 'stream ended within an event' };
    if (isFirstRun && !exchange.response.headersSent)
      exchange.writeHead(response.statusCode ?? 200, head);
    exchange.response.end();
    health.addSuccess(upstream.id);
    return { kind: 'done' };
  }

  private logOutcome(job: Job, outcome: AttemptOutcome): void {
    this.options.logger.info(
      {
        request: job.terms.attemptId,
        route: job.route.name,
        outcome: outcome.kind,
        reason: 'reason' in outcome ? outcome.reason : undefined,
        runs: job.runs,
        elapsedMs: Math.round(job.exchange.elapsedMs),
      },
      'attempt ended',
    );
  }
}

/** Gets the milliseconds that requests of a route may need while a process is leaving. */
function getLongestRun(route: Route): number {
  return route.kind === 'stream' ? Math.min(STREAM_RUN_MS, route.timeoutMs) : CALL_RUN_MS;
}

function getPriority(job: Job): number {
  return job.customer?.priority ?? job.route.priority;
}

function getPlacementRequest(job: Job): PlacementRequest {
  return {
    requestId: job.terms.attemptId ?? '',
    service: job.service,
    route: job.route,
    promptTokens: job.terms.promptTokens ?? 0,
    answerTokens: job.terms.answerTokens ?? 0,
    remainingMs: job.dueAt - performance.now(),
    waitedMs: job.exchange.elapsedMs,
    priority: getPriority(job),
    customer: job.customer?.name,
    excluded: job.excluded,
  };
}

/** Draws a service by the weights of the route. */
function chooseService(route: Route, random: number): string {
  const total = route.backends.reduce((sum, backend) => sum + backend.weight, 0);
  let left = random * total;
  for (const backend of route.backends) {
    left -= backend.weight;
    if (left < 0 && backend.weight > 0) return backend.service;
  }
  return route.backends.find((backend) => backend.weight > 0)?.service ?? '';
}

function sendWhole(exchange: Exchange, answer: WholeAnswer): void {
  if (exchange.response.headersSent) {
    exchange.cut();
    return;
  }
  const headers = answer.headers.filter(([name]) => name.toLowerCase() !== 'content-length');
  headers.push(['Content-Length', String(answer.body.length)]);
  exchange.writeHead(answer.status, headers);
  exchange.response.end(answer.body);
}

/** Reads a whole answer; undefined when it is cut short. */
async function readWhole(response: IncomingMessage): Promise<Buffer | undefined> {
  const watch = new CompletionWatch(response);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return (await watch.isWhole()) ? Buffer.concat(chunks) : undefined;
}

/** Reads the rest of a request that is refused, so that the connection can go on. */
async function discard(exchange: Exchange): Promise<void> {
  exchange.request.resume();
}
