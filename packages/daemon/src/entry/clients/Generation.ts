import { setTimeout as sleep } from 'node:timers/promises';
import type { RetryBudget } from '@azurecart/scheduling';
import type { Frame, Release } from '@azurecart/protocol';
import type { Invariants, Timeline } from '@azurecart/telemetry';
import type { PromptMetricAttributes, Measures } from '../measures/index.js';
import type { OwnerCalls, OwnerDirectory, ReserveAnswer } from '../owner/index.js';
import { UpstreamError } from '../upstreams/index.js';
import type { EngineStreams } from '../upstreams/index.js';
import type { ConfigurationLease } from '../view/index.js';
import type { AnswerWriter } from './AnswerWriter.js';
import { ApiFault } from './ApiFault.js';
import { createRefusal, createTimeout, createUnknown } from './apiFaults.js';
import type { PromptSummary } from './inspectPrompt.js';
import type { RequestTerms } from './requestTerms.js';
import type { ShardChooser } from './ShardChooser.js';

/** What all generations of a process share. */
export interface GenerationContext {
  directory: OwnerDirectory;
  chooser: ShardChooser;
  streams: EngineStreams;
  lease: ConfigurationLease;
  budget: RetryBudget;
  measures: Measures;
  timeline: Timeline;
  invariants: Invariants;
  getSession: () => string;
}

/** One prompt to be answered. */
export interface GenerationOptions {
  id: string;
  path: string;
  body: Buffer;
  summary: PromptSummary;
  terms: RequestTerms;
  customer: { name: string; weight: number };
  release: Release;
  writer: AnswerWriter;
  arrivedAt: number;
  /** Aborts when the client has gone. */
  signal: AbortSignal;
}

interface Granted {
  answer: ReserveAnswer;
  shard: string;
  owner: OwnerCalls;
  startBy: number;
}

type Ending = 'finished' | 'paused';

const SHARD_LIMIT = 2;
const FAILURE_LIMIT = 6;
const OWNER_CHANGE_LIMIT = 20;
const OWNER_RETRY_MS = 50;
const NO_ENGINE_RETRY_MS = 1000;
/** An end later than this after the deadline is a fault of the process. */
const END_GRACE_MS = 1000;

/** The task that gets one prompt answered, by as many attempts as it takes and time allows. */
export class Generation {
  private producedTokens = 0;

  /** Number of reservations asked for; makes the id of each attempt. */
  private attempts = 0;

  private failures = 0;

  private ownerChanges = 0;

  /** True once an engine may have begun to run the prompt. */
  private hasRun = false;

  private hasFirstToken = false;

  private needsFreshConnection = false;

  private lastRefusal: ApiFault | undefined;

  private readonly refused = new Set<string>();

  private readonly avoided = new Set<string>();

  private readonly dueAt: number;

  constructor(
    private readonly context: GenerationContext,
    private readonly options: GenerationOptions,
  ) {
    this.dueAt = options.arrivedAt + options.terms.deadlineMs;
  }

  /**
   * Runs until the answer is whole.
   * @throws ApiFault telling the client what happened.
   */
  async run(): Promise<void> {
    this.context.budget.addAttempt();
    const timer = AbortSignal.timeout(Math.max(1, Math.ceil(this.dueAt - performance.now())));
    const signal = AbortSignal.any([timer, this.options.signal]);
    try {
      while ((await this.runAttempt(signal)) !== 'finished');
    } catch (error) {
      throw this.toFault(error, timer.aborted);
    } finally {
      this.checkEnd();
    }
  }

  private async runAttempt(signal: AbortSignal): Promise<Ending | 'failed'> {
    this.attempts += 1;
    const granted = await this.reserve(signal);
    try {
      return await this.stream(granted, signal);
    } catch (error) {
      if (!(error instanceof UpstreamError) || signal.aborted) throw error;
      await this.prepareRetry(error, granted);
      return 'failed';
    } finally {
      this.release(granted);
    }
  }

  /** Waits for engine memory at a shard that can serve the prompt in time. */
  private async reserve(signal: AbortSignal): Promise<Granted> {
    for (;;) {
      signal.throwIfAborted();
      const shard = this.chooseShard();
      const owner = this.context.directory.getOwner(shard);
      const sentAt = performance.now();
      const answer = await owner?.reserve(this.getCall(shard), signal).catch(() => undefined);
      if (owner && answer?.granted) {
        return { answer, shard, owner, startBy: getStartBy(sentAt, answer) };
      }
      signal.throwIfAborted();
      await this.onRefusal(shard, answer);
    }
  }

  private chooseShard(): string {
    const { summary, terms } = this.options;
    const shard = this.context.chooser.choose({
      model: summary.model,
      priority: terms.priority,
      tokens: summary.promptTokens + summary.maxTokens,
      prefix: summary.prefixes[0],
      refused: this.refused,
    });
    if (shard !== undefined) return shard;
    if (this.lastRefusal) throw this.lastRefusal;
    if (this.context.chooser.hasModel(summary.model)) {
      throw createRefusal('too_large', 'no group of engines has the memory for this prompt', 0);
    }
    throw createRefusal('no_engine', 'no engine serves the model now', NO_ENGINE_RETRY_MS);
  }

  /** Tries another shard where that can help; else refuses the request. */
  private async onRefusal(shard: string, answer: ReserveAnswer | undefined): Promise<void> {
    const reason = answer?.reason ?? 'owner-changed';
    if (reason === 'owner-changed') {
      this.attempts += 1;
      this.ownerChanges += 1;
      if (this.ownerChanges > OWNER_CHANGE_LIMIT) throw toRefusal(reason, undefined);
      await sleep(OWNER_RETRY_MS);
      return;
    }
    this.refused.add(shard);
    const isLast = this.refused.size >= SHARD_LIMIT || reason === 'expired';
    this.lastRefusal = toRefusal(reason, answer);
    if (isLast || !this.context.budget.takeRetry()) throw this.lastRefusal;
    this.context.measures.recordRetry(reason);
  }

  private getCall(shard: string): Parameters<OwnerCalls['reserve']>[0] {
    const { id, summary, terms, customer, release } = this.options;
    const deadlineMs = Math.max(1, Math.floor(this.dueAt - performance.now()));
    const remainingTokens = Math.max(1, summary.maxTokens - this.producedTokens);
    return {
      shard,
      requestId: `${id}.${this.attempts}`,
      customer: customer.name,
      weight: customer.weight,
      priority: terms.priority,
      model: summary.model,
      promptTokens: summary.promptTokens + this.producedTokens,
      maxTokens: remainingTokens,
      prefixes: summary.prefixes,
      deadlineMs,
      queueLimitMs: this.hasRun ? deadlineMs : release.priorities[terms.priority].firstTokenMs,
      resumed: this.hasRun,
      session: this.context.getSession(),
      avoidedUpstreams: [...this.avoided],
    };
  }

  /** Sends the prompt under a grant and passes the answer on. */
  private async stream(granted: Granted, signal: AbortSignal): Promise<Ending> {
    const { answer } = granted;
    const [lead, ...peers] = answer.upstreams ?? [];
    this.checkGrant(granted);
    this.measureGrant(granted);
    const frames = this.context.streams.streamCompletion({
      address: lead?.address ?? '',
      path: this.options.path,
      request: answer.reservation ?? '',
      body: this.options.body,
      fence: Number(answer.fence),
      priority: answer.enginePriority ?? 0,
      tokens: lead?.tokens ?? 0,
      maxTokens: this.options.summary.maxTokens,
      offset: this.producedTokens,
      peers: peers.map((peer) => peer.address ?? ''),
      needsFreshConnection: this.needsFreshConnection,
      signal,
    });
    for await (const frame of frames) {
      const ending = await this.takeFrame(frame, granted);
      if (ending) return ending;
    }
    throw new UpstreamError('the answer has no end', 'unknown');
  }

  /** A grant is used only while it, and this process's lease, are good at this very moment. */
  private checkGrant({ startBy }: Granted): void {
    const isGood = performance.now() < startBy && this.context.lease.isHeld;
    if (!isGood) throw new UpstreamError('the grant is over', 'not-run');
  }

  private async takeFrame(frame: Frame, granted: Granted): Promise<Ending | undefined> {
    this.hasRun = true;
    this.context.invariants.require(
      'answer-not-crossed',
      frame.id === granted.answer.reservation && frame.offset === this.producedTokens,
      () => `${this.options.id}: frame ${frame.id} at ${frame.offset}`,
    );
    if (!this.hasFirstToken && frame.tokens > 0) this.onFirstToken(granted);
    this.producedTokens += frame.tokens;
    if (frame.text !== '') await this.options.writer.write(frame.text);
    if (frame.finish === 'paused') return 'paused';
    if (!frame.finish) return undefined;
    this.finish(frame.finish);
    return 'finished';
  }

  private finish(reason: string): void {
    const { summary, writer, arrivedAt } = this.options;
    if (performance.now() > this.dueAt) throw createTimeout(true);
    this.context.invariants.check(
      'answer-within-its-length',
      this.producedTokens <= summary.maxTokens,
      () => `${this.options.id}: ${this.producedTokens} of ${summary.maxTokens} tokens`,
    );
    const usage = { promptTokens: summary.promptTokens, answerTokens: this.producedTokens };
    writer.finish(reason, usage);
    const ms = performance.now() - arrivedAt;
    this.context.measures.recordCompletion(this.getMeasured(), this.producedTokens, ms);
    this.context.timeline.record('completed', { request: this.options.id });
  }

  private onFirstToken({ answer, shard, owner }: Granted): void {
    this.hasFirstToken = true;
    const { summary, release, arrivedAt, id } = this.options;
    this.context.measures.recordFirstToken(this.getMeasured(), performance.now() - arrivedAt);
    this.context.timeline.record('first-token', { request: id });
    if (summary.promptTokens < release.routing.longTokens) return;
    owner.markDecoding({ shard, reservation: answer.reservation }).catch(() => undefined);
  }

  /** Decides whether a failed attempt may be followed by another. */
  private async prepareRetry(fault: UpstreamError, { answer }: Granted): Promise<void> {
    const { timeline, budget, measures } = this.context;
    const upstream = answer.upstreams?.[0]?.id;
    const detail = `${fault.outcome}: ${fault.message}`;
    timeline.record('attempt-failed', { request: this.options.id, upstream, detail });
    if (fault.outcome === 'unknown') this.hasRun = true;
    if (upstream !== undefined) this.avoided.add(upstream);
    this.needsFreshConnection = true;
    this.failures += 1;
    if (this.failures >= FAILURE_LIMIT || !budget.takeRetry()) throw fault;
    measures.recordRetry(fault.outcome);
  }

  private release({ answer, shard }: Granted): void {
    const call = { shard, reservation: answer.reservation };
    const owner = this.context.directory.getOwner(shard);
    owner?.release(call).catch(() => undefined);
  }

  private measureGrant({ answer, shard }: Granted): void {
    const { id } = this.options;
    const upstream = answer.upstreams?.[0]?.id;
    const fence = Number(answer.fence);
    this.context.measures.recordQueueTime(this.getMeasured(), answer.queuedMs ?? 0);
    this.context.timeline.record('sent', { request: id, upstream, fence, detail: shard });
  }

  private getMeasured(): PromptMetricAttributes {
    const { customer, terms, summary } = this.options;
    const { promptTokens } = summary;
    return { customer: customer.name, priority: terms.priority, promptTokens };
  }

  private toFault(error: unknown, isTimedOut: boolean): ApiFault {
    const fault = this.describe(error, isTimedOut);
    const isNotRun = fault.options.outcome === 'not-run';
    this.context.invariants.check(
      'not-run-means-not-run',
      !isNotRun || !this.hasRun,
      () => this.options.id,
    );
    return fault;
  }

  private describe(error: unknown, isTimedOut: boolean): ApiFault {
    if (isTimedOut) return createTimeout(this.hasRun);
    if (error instanceof ApiFault && !this.hasRun) return error;
    if (error instanceof ApiFault) {
      return createUnknown(error.options.code, `the answer broke off: ${error.message}`);
    }
    const message = error instanceof Error ? error.message : String(error);
    if (this.hasRun) return createUnknown('upstream_failed', message);
    return createRefusal('upstream_failed', message);
  }

  private checkEnd(): void {
    this.context.invariants.check(
      'ended-by-its-deadline',
      performance.now() - this.dueAt <= END_GRACE_MS,
      () => `${this.options.id}: ${Math.round(performance.now() - this.dueAt)} ms late`,
    );
  }
}

/**
 * Gets the time by which a granted prompt must be sent.
 * @remarks It counts from the sending of the call and the time in the owner's queue, which is never
 * later than the grant itself: a process that was frozen takes no old answer for a new one.
 */
function getStartBy(sentAt: number, { queuedMs, startWithinMs }: ReserveAnswer): number {
  return sentAt + (queuedMs ?? 0) + (startWithinMs ?? 0);
}

function toRefusal(reason: string, answer: ReserveAnswer | undefined): ApiFault {
  const code = reason.replaceAll('-', '_');
  const message = `the request cannot be served in time: ${reason}`;
  return createRefusal(code, message, answer?.retryAfterMs ?? NO_ENGINE_RETRY_MS);
}
