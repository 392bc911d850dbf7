import type { IncomingMessage } from 'node:http';
import type { UpstreamRecord } from '@azurecart/discovery';
import {
  CompletionWatch,
  EventCutter,
  getEndToEndHeaders,
  UpstreamCall,
  UpstreamFault,
} from '../upstreams/index.js';
import type { UpstreamAgent } from '../upstreams/index.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import type { Job } from './Job.js';
import type { Patience } from './Patience.js';
import type { Reservation } from './Placement.js';
import { StallTimer } from './StallTimer.js';
import { readWhole, sendWhole } from './wholeAnswers.js';
import type { UpstreamHealth } from './UpstreamHealth.js';
import type { Helper, Wire } from './Wire.js';

/** What an attempt needs. */
export interface UpstreamAttemptOptions {
  wire: Wire;
  health: UpstreamHealth;
  agent: UpstreamAgent;
  job: Job;
  upstream: UpstreamRecord;
  helpers: Helper[];
  reservation: Reservation;
  /** How long a silent upstream is waited for; without it until the request's time is over. */
  patience: Patience | undefined;
  /** Aborted when the upstream is found dead by other means. */
  silenced: AbortSignal;
  /** Takes a retry from the budget; false when there is none. */
  takeRetry: () => boolean;
}

/** Milliseconds for a new connection to an upstream to be established. */
const CONNECT_TIMEOUT_MS = 300;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;

/** One attempt of a request at one upstream. */
export class UpstreamAttempt {
  private stall = new StallTimer(() => undefined);

  constructor(private readonly options: UpstreamAttemptOptions) {}

  /** Sends the request and passes the answer on as far as it may reach the client. */
  async run(): Promise<AttemptOutcome> {
    const { health, job, upstream, patience, silenced } = this.options;
    const call = this.createCall();
    const abort = (): void => call.abort();
    this.stall = new StallTimer(() => {
      if (this.options.takeRetry()) abort();
    });
    if (patience) this.stall.restart(patience.firstMs);
    job.signal.addEventListener('abort', abort);
    silenced.addEventListener('abort', abort);
    job.addSend(upstream.id);
    try {
      return await this.takeAnswer(await call.send());
    } catch (error) {
      if (!(error instanceof UpstreamFault)) throw error;
      if (!job.signal.aborted && !call.isReused) health.addBreak(upstream.id);
      if (error.isNotRun) job.takeBackRun();
      return error.isNotRun
        ? { kind: 'notRun', reason: error.message, isGone: true }
        : { kind: 'unknown', reason: error.message };
    } finally {
      this.stall.stop();
      job.signal.removeEventListener('abort', abort);
      silenced.removeEventListener('abort', abort);
      if (job.signal.aborted) call.abort();
    }
  }

  private createCall(): UpstreamCall {
    const { wire, agent, job, upstream, helpers } = this.options;
    const { request } = job.exchange;
    const headers = wire.writeRequest(request.rawHeaders, {
      upstreamId: upstream.id,
      customer: job.customerName,
      remainingMs: Math.max(1, Math.floor(job.remainingMs)),
      lastEventId: job.lastEventId,
      priority: job.route.hasPrompt ? job.priority : undefined,
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

  private async takeAnswer(response: IncomingMessage): Promise<AttemptOutcome> {
    const { wire, health, job, upstream } = this.options;
    const status = response.statusCode ?? 0;
    const terms = wire.readAnswer(status, response.headers);
    const isForeign = job.attemptId !== undefined && terms.attemptId !== job.attemptId;
    if (isForeign && (!terms.isNotRun || terms.attemptId !== undefined)) {
      response.destroy();
      return { kind: 'unknown', reason: 'answer to another request' };
    }
    if (terms.isNotRun) {
      response.resume();
      job.takeBackRun();
      if (status === MISDIRECTED) health.addBreak(upstream.id);
      return {
        kind: 'notRun',
        reason: `upstream answered ${status}`,
        isGone: status === MISDIRECTED,
        faulty: terms.faultyUpstream,
      };
    }
    const isSuccess = status >= 200 && status < 300;
    if ((isSuccess && !terms.isSigned) || response.headers['content-encoding']) {
      response.destroy();
      health.addBadAnswer(upstream.id);
      return { kind: 'unknown', reason: 'answer without signature, or encoded' };
    }
    if (isSuccess && job.route.kind === 'stream') return this.passEvents(response);
    return this.takeWhole(response);
  }

  private async takeWhole(response: IncomingMessage): Promise<AttemptOutcome> {
    const { health, job, upstream } = this.options;
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
      if (status === UNAVAILABLE) return { kind: 'unknown', reason: 'upstream answered 503' };
      return { kind: 'failed', reason: `upstream answered ${status}`, answer };
    }
    health.addSuccess(upstream.id);
    sendWhole(job.exchange, answer);
    return { kind: 'done' };
  }

  /** Passes events on as they come, whole ones only. */
  private async passEvents(response: IncomingMessage): Promise<AttemptOutcome> {
    const { health, job, upstream, reservation, patience } = this.options;
    const { exchange } = job;
    const cutter = new EventCutter();
    const watch = new CompletionWatch(response);
    const writeHead = (): void => {
      if (exchange.response.headersSent) return;
      exchange.writeHead(response.statusCode ?? 200, getEndToEndHeaders(response.rawHeaders));
    };
    try {
      for await (const chunk of response as AsyncIterable<Buffer>) {
        const events = cutter.read(chunk);
        if (events.length === 0) continue;
        writeHead();
        reservation.addProgress();
        this.stall.stop();
        await exchange.write(Buffer.concat(events.map((event) => event.bytes)));
        job.lastEventId = events.at(-1)?.id ?? job.lastEventId;
        if (patience) this.stall.restart(patience.pauseMs);
      }
    } catch (error) {
      if (!job.signal.aborted) health.addBadAnswer(upstream.id);
      return { kind: 'unknown', reason: `stream broke off: ${String(error)}` };
    }
    if (!(await watch.isWhole()) || job.signal.aborted || cutter.hasPartial)
      return { kind: 'unknown', reason: 'stream broke off' };
    writeHead();
    exchange.response.end();
    health.addSuccess(upstream.id);
    return { kind: 'done' };
  }
}
