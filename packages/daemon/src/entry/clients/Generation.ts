import { setTimeout as sleep } from 'node:timers/promises';
import type { RetryBudget } from '@azurecart/scheduling';
import type { Frame, Release } from '@azurecart/protocol';
import type { Invariants, Timeline } from '@azurecart/telemetry';
import type { EntryMetrics, PromptMetricAttributes } from '../metrics/index.js';
import type { OwnerApi, OwnerDirectory, ReserveResponseInit } from '../owner/index.js';
import { UpstreamError } from '../upstreams/index.js';
import type { EngineStreamClient } from '../upstreams/index.js';
import type { ConfigurationLease } from '../view/index.js';
import { ApiError } from './ApiError.js';
import { createDeadlineExceeded, createUnavailable, createUnknownOutcome } from './apiErrors.js';
import type { PromptSummary } from './inspectPrompt.js';
import type { RequestQos } from './requestQos.js';
import type { ResponseWriter } from './ResponseWriter.js';
import type { ShardChooser } from './ShardChooser.js';

/** Services that all generations of a process share. */
export interface GenerationContext {
  directory: OwnerDirectory;
  chooser: ShardChooser;
  streams: EngineStreamClient;
  lease: ConfigurationLease;
  retryBudget: RetryBudget;
  metrics: EntryMetrics;
  timeline: Timeline;
  invariants: Invariants;
  getSession: () => string;
}

/** One prompt and the request that it came with. */
export interface GenerationOptions {
  id: string;
  path: string;
  body: Buffer;
  summary: PromptSummary;
  qos: RequestQos;
  customer: { name: string; weight: number };
  release: Release;
  writer: ResponseWriter;
  arrivedAt: number;
  /** Aborts when the client disconnects. */
  signal: AbortSignal;
}

interface ReservationGrant {
  response: ReserveResponseInit;
  shard: string;
  owner: OwnerApi;
  startBy: number;
}

/** How an attempt ended without an error; a paused one is continued by another attempt. */
type AttemptResult = 'finished' | 'paused';

/** Number of shards refusing for their load after which a request is rejected. */
const MAX_LOAD_REFUSALS = 2;
/** Refusals of a shard that has no engine for the prompt, whatever its load. */
const INCAPABLE_REASONS: ReadonlySet<string> = new Set(['no-engine', 'too-large']);
const MAX_FAILED_ATTEMPTS = 6;
/**
 * Owner changes are counted apart from failed attempts, because they would use up the attempts
 * that a failed engine needs. All retries together wait about 1 s for a new owner.
 */
const MAX_OWNER_CHANGES = 20;
const OWNER_CHANGE_RETRY_DELAY_MS = 50;
const DEFAULT_RETRY_AFTER_MS = 1000;
/** A request that ends later than this after its deadline violates an invariant. */
const DEADLINE_TOLERANCE_MS = 1000;

/** Completes one prompt, by several attempts if necessary, as long as its deadline allows. */
export class Generation {
  private producedTokens = 0;

  /**
   * Suffix of the reservation id `<request>.<n>`. It is incremented for each attempt, and after an
   * owner change, because a call that was lost may still be granted. It stays the same when another
   * shard is asked after a refusal.
   */
  private reservationNumber = 0;

  private failedAttempts = 0;

  private ownerChanges = 0;

  /** Whether an engine may have begun to run the prompt. */
  private mayHaveRun = false;

  private hasFirstToken = false;

  private needsFreshConnection = false;

  private loadRefusals = 0;

  private lastRefusal: ApiError | undefined;

  private readonly refusingShards = new Set<string>();

  private readonly avoidedUpstreams = new Set<string>();

  private readonly deadlineAt: number;

  constructor(
    private readonly context: GenerationContext,
    private readonly options: GenerationOptions,
  ) {
    this.deadlineAt = options.arrivedAt + options.qos.deadlineMs;
  }

  /**
   * Runs until the response is complete.
   * @throws ApiError to be sent to the client.
   */
  async run(): Promise<void> {
    this.context.retryBudget.addAttempt();
    const timer = AbortSignal.timeout(Math.max(1, Math.ceil(this.deadlineAt - performance.now())));
    const signal = AbortSignal.any([timer, this.options.signal]);
    try {
      while ((await this.runAttempt(signal)) !== 'finished');
    } catch (error) {
      throw this.toCheckedApiError(error, timer.aborted);
    } finally {
      this.checkEndedByDeadline();
    }
  }

  private async runAttempt(signal: AbortSignal): Promise<AttemptResult | 'failed'> {
    this.reservationNumber += 1;
    const grant = await this.reserve(signal);
    try {
      return await this.streamCompletion(grant, signal);
    } catch (error) {
      if (!(error instanceof UpstreamError) || signal.aborted) throw error;
      await this.prepareRetry(error, grant);
      return 'failed';
    } finally {
      this.releaseReservation(grant);
    }
  }

  /** Reserves engine memory at a shard that can serve the prompt in time. */
  private async reserve(signal: AbortSignal): Promise<ReservationGrant> {
    for (;;) {
      signal.throwIfAborted();
      const shard = this.chooseShard();
      const owner = this.context.directory.getOwner(shard);
      const sentAt = performance.now();
      const response = await owner
        ?.reserve(this.createReserveRequest(shard), signal)
        .catch(() => undefined);
      if (owner && response?.granted) {
        return { response, shard, owner, startBy: getStartBy(sentAt, response) };
      }
      signal.throwIfAborted();
      await this.handleRefusal(shard, response);
    }
  }

  private chooseShard(): string {
    const { summary, qos } = this.options;
    const shard = this.context.chooser.choose({
      model: summary.model,
      priority: qos.priority,
      tokens: summary.promptTokens + summary.maxTokens,
      prefix: summary.prefixes[0],
      excludedShards: this.refusingShards,
    });
    if (shard !== undefined) return shard;
    if (this.lastRefusal) throw this.lastRefusal;
    // The group of engines in the message is a shard.
    if (this.context.chooser.hasModel(summary.model)) {
      throw createUnavailable('too_large', 'no group of engines has the memory for this prompt', 0);
    }
    throw createUnavailable('no_engine', 'no engine serves the model now', DEFAULT_RETRY_AFTER_MS);
  }

  /** Prepares the next reservation if another may succeed; otherwise rejects the request. */
  private async handleRefusal(
    shard: string,
    response: ReserveResponseInit | undefined,
  ): Promise<void> {
    // A shard without an owner and a failed call have no response, and count as an owner change.
    const reason = response?.reason ?? 'owner-changed';
    if (reason === 'owner-changed') {
      this.reservationNumber += 1;
      this.ownerChanges += 1;
      if (this.ownerChanges > MAX_OWNER_CHANGES) throw createReservationError(reason, undefined);
      await sleep(OWNER_CHANGE_RETRY_DELAY_MS);
      return;
    }
    this.refusingShards.add(shard);
    this.lastRefusal = createReservationError(reason, response);
    // Such a shard has not run anything, so asking all others does not multiply the load of a fault.
    if (!INCAPABLE_REASONS.has(reason)) this.countLoadRefusal(reason, this.lastRefusal);
    this.context.metrics.recordRetry(reason);
  }

  /** Counts a refusal that is retried on the budget; throws it when no other shard may be asked. */
  private countLoadRefusal(reason: string, refusal: ApiError): void {
    this.loadRefusals += 1;
    const isLast = this.loadRefusals >= MAX_LOAD_REFUSALS || reason === 'expired';
    if (isLast || !this.context.retryBudget.takeRetry()) throw refusal;
  }

  private createReserveRequest(shard: string): Parameters<OwnerApi['reserve']>[0] {
    const { id, summary, qos, customer, release } = this.options;
    const deadlineMs = Math.max(1, Math.floor(this.deadlineAt - performance.now()));
    const remainingTokens = Math.max(1, summary.maxTokens - this.producedTokens);
    return {
      shard,
      requestId: `${id}.${this.reservationNumber}`,
      customer: customer.name,
      weight: customer.weight,
      priority: qos.priority,
      model: summary.model,
      promptTokens: summary.promptTokens + this.producedTokens,
      maxTokens: remainingTokens,
      prefixes: summary.prefixes,
      deadlineMs,
      queueLimitMs: this.mayHaveRun ? deadlineMs : release.priorities[qos.priority].firstTokenMs,
      resumed: this.mayHaveRun,
      session: this.context.getSession(),
      avoidedUpstreams: [...this.avoidedUpstreams],
    };
  }

  /**
   * Sends the prompt under a grant and forwards the response to the client. The prompt is sent to
   * the lead engine, which processes it; its peers only hold memory for it.
   */
  private async streamCompletion(
    grant: ReservationGrant,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { response } = grant;
    const [lead, ...peers] = response.upstreams ?? [];
    this.checkGrant(grant);
    this.recordGrant(grant);
    const frames = this.context.streams.streamCompletion({
      address: lead?.address ?? '',
      path: this.options.path,
      attemptId: response.reservation ?? '',
      body: this.options.body,
      fence: Number(response.fence),
      priority: response.enginePriority ?? 0,
      tokens: lead?.tokens ?? 0,
      maxTokens: this.options.summary.maxTokens,
      offset: this.producedTokens,
      peers: peers.map((peer) => peer.address ?? ''),
      needsFreshConnection: this.needsFreshConnection,
      signal,
    });
    for await (const frame of frames) {
      const result = await this.handleFrame(frame, grant);
      if (result) return result;
    }
    // The stream ended without a finish reason.
    throw new UpstreamError('the answer has no end', 'unknown');
  }

  /**
   * Checks, immediately before sending, that the grant and the configuration lease still hold. The
   * error is the same for both.
   */
  private checkGrant({ startBy }: ReservationGrant): void {
    const isValid = performance.now() < startBy && this.context.lease.isHeld;
    if (!isValid) throw new UpstreamError('the grant is over', 'not-run');
  }

  private async handleFrame(
    frame: Frame,
    grant: ReservationGrant,
  ): Promise<AttemptResult | undefined> {
    this.mayHaveRun = true;
    this.context.invariants.require(
      'answer-not-crossed',
      frame.id === grant.response.reservation && frame.offset === this.producedTokens,
      () => `${this.options.id}: frame ${frame.id} at ${frame.offset}`,
    );
    if (!this.hasFirstToken && frame.tokens > 0) this.onFirstToken(grant);
    this.producedTokens += frame.tokens;
    if (frame.text !== '') await this.options.writer.write(frame.text);
    if (frame.finish === 'paused') return 'paused';
    if (!frame.finish) return undefined;
    this.complete(frame.finish);
    return 'finished';
  }

  private complete(reason: string): void {
    const { summary, writer, arrivedAt } = this.options;
    if (performance.now() > this.deadlineAt) throw createDeadlineExceeded(true);
    this.context.invariants.check(
      'answer-within-its-length',
      this.producedTokens <= summary.maxTokens,
      () => `${this.options.id}: ${this.producedTokens} of ${summary.maxTokens} tokens`,
    );
    const usage = { promptTokens: summary.promptTokens, completionTokens: this.producedTokens };
    writer.finish(reason, usage);
    const ms = performance.now() - arrivedAt;
    this.context.metrics.recordCompletion(this.getMetricAttributes(), this.producedTokens, ms);
    this.context.timeline.record('completed', { request: this.options.id });
  }

  private onFirstToken({ response, shard, owner }: ReservationGrant): void {
    this.hasFirstToken = true;
    const { summary, release, arrivedAt, id } = this.options;
    this.context.metrics.recordFirstToken(
      this.getMetricAttributes(),
      performance.now() - arrivedAt,
    );
    this.context.timeline.record('first-token', { request: id });
    if (summary.promptTokens < release.routing.longTokens) return;
    // Only the owner that granted the reservation is notified; a new owner assumes that the
    // reservations it adopts are already decoding.
    owner.markDecoding({ shard, reservation: response.reservation }).catch(() => undefined);
  }

  /** Records a failed attempt and rethrows its error if no further attempt may follow. */
  private async prepareRetry(error: UpstreamError, { response }: ReservationGrant): Promise<void> {
    const { timeline, retryBudget, metrics } = this.context;
    const upstream = response.upstreams?.[0]?.id;
    const detail = `${error.outcome}: ${error.message}`;
    timeline.record('attempt-failed', { request: this.options.id, upstream, detail });
    if (error.outcome === 'unknown') this.mayHaveRun = true;
    if (upstream !== undefined) this.avoidedUpstreams.add(upstream);
    this.needsFreshConnection = true;
    this.failedAttempts += 1;
    if (this.failedAttempts >= MAX_FAILED_ATTEMPTS || !retryBudget.takeRetry()) throw error;
    metrics.recordRetry(error.outcome);
  }

  /** Releases a reservation at the current owner, which may have adopted it from the grantor. */
  private releaseReservation({ response, shard }: ReservationGrant): void {
    const call = { shard, reservation: response.reservation };
    const owner = this.context.directory.getOwner(shard);
    owner?.release(call).catch(() => undefined);
  }

  private recordGrant({ response, shard }: ReservationGrant): void {
    const { id } = this.options;
    const upstream = response.upstreams?.[0]?.id;
    const fence = Number(response.fence);
    this.context.metrics.recordQueueTime(this.getMetricAttributes(), response.queuedMs ?? 0);
    this.context.timeline.record('sent', { request: id, upstream, fence, detail: shard });
  }

  private getMetricAttributes(): PromptMetricAttributes {
    const { customer, qos, summary } = this.options;
    const { promptTokens } = summary;
    return { customer: customer.name, priority: qos.priority, promptTokens };
  }

  /** Converts an error, and checks that it is not `not-run` for a prompt that may have run. */
  private toCheckedApiError(error: unknown, isTimedOut: boolean): ApiError {
    const apiError = this.toApiError(error, isTimedOut);
    const isNotRun = apiError.options.outcome === 'not-run';
    this.context.invariants.check(
      'not-run-means-not-run',
      !isNotRun || !this.mayHaveRun,
      () => this.options.id,
    );
    return apiError;
  }

  private toApiError(error: unknown, isTimedOut: boolean): ApiError {
    if (isTimedOut) return createDeadlineExceeded(this.mayHaveRun);
    if (error instanceof ApiError && !this.mayHaveRun) return error;
    if (error instanceof ApiError) {
      return createUnknownOutcome(error.options.code, `the answer broke off: ${error.message}`);
    }
    const message = error instanceof Error ? error.message : String(error);
    if (this.mayHaveRun) return createUnknownOutcome('upstream_failed', message);
    return createUnavailable('upstream_failed', message);
  }

  private checkEndedByDeadline(): void {
    this.context.invariants.check(
      'ended-by-its-deadline',
      performance.now() - this.deadlineAt <= DEADLINE_TOLERANCE_MS,
      () => `${this.options.id}: ${Math.round(performance.now() - this.deadlineAt)} ms late`,
    );
  }
}

/**
 * Gets the time by which a granted prompt must be sent.
 * @remarks The period starts at `sentAt + queuedMs`. That is never later than the grant itself,
 * except for the drift between the clocks of the two processes (see `GRANT_MARGIN_MS`). A process
 * that was suspended therefore does not take an old response for a recent one.
 */
function getStartBy(sentAt: number, { queuedMs, startWithinMs }: ReserveResponseInit): number {
  return sentAt + (queuedMs ?? 0) + (startWithinMs ?? 0);
}

function createReservationError(
  reason: string,
  response: ReserveResponseInit | undefined,
): ApiError {
  const code = reason.replaceAll('-', '_');
  const message = `the request cannot be served in time: ${reason}`;
  return createUnavailable(code, message, response?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS);
}
