import type { IncomingMessage } from 'node:http';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { MemoryBudget } from '@azurecart/scheduling';
import {
  ResponseCompletion,
  EventStreamSplitter,
  getEndToEndHeaders,
  UpstreamCall,
  UpstreamError,
} from '../upstreams/index.js';
import type { ServerSentEvent, UpstreamAgent } from '../upstreams/index.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import type { RequestContext } from './RequestContext.js';
import type { AttemptTimeouts } from './AttemptTimeouts.js';
import type { PlacementHandle } from './Placement.js';
import { StallTimer } from './StallTimer.js';
import { readBufferedBody, sendBufferedResponse } from './bufferedResponse.js';
import type { UpstreamHealth } from './UpstreamHealth.js';
import type { UpstreamStatements } from './UpstreamStatements.js';
import type { PrefillHelper, EntryProtocol } from './EntryProtocol.js';

export interface UpstreamAttemptOptions {
  protocol: EntryProtocol;
  health: UpstreamHealth;
  statements: UpstreamStatements;
  agent: UpstreamAgent;
  context: RequestContext;
  upstream: UpstreamRecord;
  helpers: PrefillHelper[];
  handle: PlacementHandle;
  /** Memory for the bodies of responses that are relayed as a whole. */
  responseMemory: MemoryBudget;
  /** Times after which the attempt counts as stalled; undefined if it cannot be handed over. */
  timeouts: AttemptTimeouts | undefined;
  /** Ends the attempt, because another upstream takes the request over or the engine is gone. */
  abandoned: AbortSignal;
  /** Searches for another upstream for a stalled attempt; false if there is none. */
  beginHandover: () => Promise<boolean>;
}

/** Timeout for establishing a connection to an upstream, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;
/** Status of a response by another upstream, which has taken over the address. */
const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
const SUCCESS = 200;

/** One attempt to have a request served by one upstream. */
export class UpstreamAttempt {
  private readonly stallTimer: StallTimer;

  constructor(private readonly options: UpstreamAttemptOptions) {
    this.stallTimer = new StallTimer(options.beginHandover);
  }

  /** Sends the request and relays the response; a failure is returned, so that it can be retried. */
  async run(): Promise<AttemptOutcome> {
    const { health, context, upstream, timeouts, abandoned } = this.options;
    const call = this.createCall();
    const abort = (): void => call.abort();
    if (timeouts) this.stallTimer.restart(timeouts.firstResponseMs);
    context.signal.addEventListener('abort', abort);
    abandoned.addEventListener('abort', abort);
    context.recordSend(upstream.id);
    this.options.statements.recordSend(upstream);
    try {
      return await this.handleResponse(await call.send(), call);
    } catch (error) {
      if (!(error instanceof UpstreamError)) throw error;
      // Not counted on a reused connection, which the upstream may have closed because it was idle.
      if (!context.signal.aborted && !call.isReused) health.recordConnectionFailure(upstream.id);
      if (error.isUnsent) context.revertRunCount();
      return error.isUnsent
        ? { kind: 'notRun', reason: error.message, isUnreachable: true }
        : { kind: 'unknown', reason: error.message };
    } finally {
      this.stallTimer.stop();
      context.signal.removeEventListener('abort', abort);
      abandoned.removeEventListener('abort', abort);
      if (context.signal.aborted) call.abort();
    }
  }

  private createCall(): UpstreamCall {
    const { protocol, agent, context, upstream, helpers } = this.options;
    const { request } = context.exchange;
    // The headers that this process sets are added afterwards: the client's `Connection` header
    // must not remove them.
    const clientHeaders = getEndToEndHeaders(request.rawHeaders, protocol.endToEndHeaders);
    const headers = protocol.buildRequestHeaders(clientHeaders, {
      upstreamId: upstream.id,
      customer: context.customerName,
      remainingMs: Math.max(1, Math.floor(context.remainingMs)),
      lastEventId: context.lastEventId,
      priority: context.route.sendsPriority ? context.priority : undefined,
      helpers,
    });
    return new UpstreamCall({
      address: upstream.address,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers,
      body: context.body,
      agent: this.mayReuseConnection() ? agent : undefined,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
  }

  /**
   * Returns true if the request may be sent on a connection that others have used. An upstream may
   * close an idle connection just as a request is sent on it. It would then be unknown whether the
   * request was executed, so non-idempotent ones use new connections. So do those without an id, as
   * nothing else tells a late response to an earlier request from theirs.
   */
  private mayReuseConnection(): boolean {
    const { route, clientAttemptId } = this.options.context;
    return route.kind !== 'nonIdempotent' && clientAttemptId !== undefined;
  }

  private async handleResponse(
    response: IncomingMessage,
    call: UpstreamCall,
  ): Promise<AttemptOutcome> {
    const { protocol, health, context, upstream, statements } = this.options;
    const status = response.statusCode ?? 0;
    const metadata = protocol.parseResponse(status, response.headers);
    const { clientAttemptId } = metadata;
    // An upstream that did not execute the request may omit `clientAttemptId`. On a connection that
    // other requests have used, such a response may repeat the refusal of one of them.
    const isOwn =
      clientAttemptId === context.clientAttemptId ||
      (clientAttemptId === undefined && metadata.isNotExecuted && !call.isReused);
    if (!isOwn) {
      response.destroy();
      return { kind: 'unknown', reason: 'answer to another request' };
    }
    context.upstreamLimit = metadata.requestsPerSecond;
    statements.record(upstream, status, metadata);
    if (metadata.isNotExecuted) {
      call.discard(response);
      context.revertRunCount();
      if (status === MISDIRECTED_REQUEST) health.recordConnectionFailure(upstream.id);
      return {
        kind: 'notRun',
        reason: `upstream answered ${status}`,
        isUnreachable: status === MISDIRECTED_REQUEST,
        faultyUpstream: metadata.faultyUpstream,
      };
    }
    const isSuccess = status >= 200 && status < 300;
    // Successful responses must be signed, and no response may be encoded.
    if ((isSuccess && !metadata.isSigned) || response.headers['content-encoding']) {
      response.destroy();
      health.recordErrorResponse(upstream.id);
      return { kind: 'unknown', reason: 'answer without signature, or encoded' };
    }
    if (isSuccess && context.route.kind === 'stream') return this.relayEvents(response, call);
    return this.relayBuffered(response, call);
  }

  private async relayBuffered(
    response: IncomingMessage,
    call: UpstreamCall,
  ): Promise<AttemptOutcome> {
    const { health, context, upstream, protocol, responseMemory } = this.options;
    const status = response.statusCode ?? 0;
    const holder = responseMemory.open();
    context.exchange.holdUntilEnd(holder);
    const body = await readBufferedBody(response, call, holder, context.signal);
    // The body was truncated or exceeds a limit on memory; the reason covers both.
    if (!body) {
      holder.release();
      if (!context.signal.aborted) health.recordErrorResponse(upstream.id);
      return { kind: 'unknown', reason: 'answer cut short' };
    }
    const buffered = {
      status,
      headers: getEndToEndHeaders(response.rawHeaders, protocol.endToEndHeaders),
      body,
    };
    if (status >= 500) {
      health.recordErrorResponse(upstream.id);
      // To the client a 503 means that the request was not executed, which is not certain here.
      if (status === SERVICE_UNAVAILABLE)
        return { kind: 'unknown', reason: 'upstream answered 503' };
      return { kind: 'failed', reason: `upstream answered ${status}`, response: buffered };
    }
    health.recordSuccess(upstream.id);
    sendBufferedResponse(context.exchange, buffered);
    return { kind: 'done' };
  }

  /** Returns true if a response goes on with the stream that another one has begun. */
  private isContinuation(response: IncomingMessage): boolean {
    return (
      response.statusCode === SUCCESS && getMediaType(response) === this.options.context.streamType
    );
  }

  /**
   * Relays events as they arrive; a partially received event is never relayed, nor one whose id does
   * not follow that of the event before it.
   */
  private async relayEvents(
    response: IncomingMessage,
    call: UpstreamCall,
  ): Promise<AttemptOutcome> {
    const { protocol, health, context, upstream, handle, timeouts } = this.options;
    const { exchange } = context;
    if (exchange.response.headersSent && !this.isContinuation(response)) {
      response.destroy();
      health.recordErrorResponse(upstream.id);
      return { kind: 'unknown', reason: 'answer does not continue the stream' };
    }
    const eventSplitter = new EventStreamSplitter();
    const completion = new ResponseCompletion(response);
    let previousId = exchange.response.headersSent ? context.lastEventId : undefined;
    let hasEvents = false;
    const writeHead = (): void => {
      if (exchange.response.headersSent) return;
      context.streamType = getMediaType(response);
      // Another upstream may finish the stream with a different number of bytes.
      const { rawHeaders } = response;
      const headers = getEndToEndHeaders(rawHeaders, protocol.endToEndHeaders).filter(
        ([name]) => name.toLowerCase() !== 'content-length',
      );
      exchange.writeHead(response.statusCode ?? SUCCESS, headers);
    };
    try {
      for await (const chunk of response as AsyncIterable<Buffer>) {
        call.recordBody(chunk.length);
        const events = eventSplitter.read(chunk);
        const newEvents = getNewEvents(events, previousId);
        if (newEvents.length > 0) {
          hasEvents = true;
          writeHead();
          handle.reportProgress();
          this.stallTimer.stop();
          await exchange.write(Buffer.concat(newEvents.map((event) => event.bytes)));
          previousId = newEvents.at(-1)?.id;
          context.lastEventId = previousId;
          if (timeouts) this.stallTimer.restart(timeouts.betweenEventsMs);
        }
        if (newEvents.length < events.length) throw new Error('an event was sent again');
      }
    } catch (error) {
      if (!context.signal.aborted) health.recordErrorResponse(upstream.id);
      return { kind: 'unknown', reason: `stream broke off: ${String(error)}` };
    }
    if (!(await completion.isComplete()) || context.signal.aborted || eventSplitter.hasPartialEvent)
      return { kind: 'unknown', reason: 'stream broke off' };
    // An upstream that ends after its head leaves the same bytes.
    if (completion.isCloseDelimited && !hasEvents)
      return { kind: 'unknown', reason: 'stream without length and events' };
    writeHead();
    exchange.response.end(eventSplitter.trailingBytes);
    health.recordSuccess(upstream.id);
    return { kind: 'done' };
  }
}

/** Gets the media type of a response, without parameters. */
function getMediaType(response: IncomingMessage): string {
  return (response.headers['content-type'] ?? '').split(';')[0]?.trim().toLowerCase() ?? '';
}

/** Gets the events before the first one that repeats an id or goes back behind it. */
function getNewEvents(
  events: ServerSentEvent[],
  previousId: string | undefined,
): ServerSentEvent[] {
  const firstOld = events.findIndex(({ id }, index) => {
    const previous = index === 0 ? previousId : events[index - 1]?.id;
    return previous !== undefined && (id === previous || Number(id) <= Number(previous));
  });
  return firstOld === -1 ? events : events.slice(0, firstOld);
}
