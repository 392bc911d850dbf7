import { setTimeout as sleep } from 'node:timers/promises';
import { Signal } from '@azurecart/consensus';

/** A request that holds KV cache memory of the engine. */
export interface BatchRequest {
  id: string;
  fence: number;
  /** KV cache memory reserved for the request, in tokens. */
  reservedTokens: number;
  /** False when the request only reserves memory for a prompt that another engine leads. */
  leads: boolean;
  /** Lower numbers are prefilled first. */
  priority: number;
  remainingPrefillTokens: number;
  /** Output tokens so far, including those of earlier attempts. */
  producedTokens: number;
  maxTokens: number;
  /** Prefill rate as a multiple of that of a single engine. */
  prefillSpeedup: number;
  onToken: (offset: number, isLast: boolean) => void;
  onPrefilled: () => void;
  onPaused: (offset: number) => void;
}

/** Capacity and speed of a fake engine. */
export interface BatchModelOptions {
  /** KV cache capacity in tokens. */
  kvTokens: number;
  maxBatch: number;
  prefillTokensPerSecond: number;
  decodeStepMs: number;
  /** Prefill time budget of one step. */
  chunkMs: number;
}

/** Maximum time between checks for requests while idle; an added request ends the wait at once. */
const IDLE_WAIT_MS = 1000;
/** Maximum timer delay that later steps compensate for. */
const MAX_CATCH_UP_MS = 5;

/**
 * Simulates continuous batching with chunked prefill: each step prefills requests in order of
 * priority, and every decoding request produces one token in the same step.
 */
export class BatchModel {
  private readonly requests = new Map<string, BatchRequest>();

  private readonly wakeSignal = new Signal();

  private isStopped = false;

  private stepEndsAt = 0;

  /** Prompt and output tokens processed so far. */
  processedTokens = 0;

  constructor(private readonly options: BatchModelOptions) {}

  get reservedTokens(): number {
    return this.getRequests().reduce((sum, request) => sum + request.reservedTokens, 0);
  }

  /** Prompt tokens that have not been prefilled yet. */
  get queuedTokens(): number {
    return this.getRequests().reduce((sum, request) => sum + request.remainingPrefillTokens, 0);
  }

  /** Number of requests that occupy a batch slot. */
  get running(): number {
    return this.getRequests().filter((request) => request.leads).length;
  }

  getRequests(): BatchRequest[] {
    return [...this.requests.values()];
  }

  /**
   * Adds a request. Returns false when the id is already present, the batch is full or the free
   * memory does not suffice.
   */
  add(request: BatchRequest): boolean {
    const hasBatchSlot = !request.leads || this.running < this.options.maxBatch;
    const isDuplicate = this.requests.has(request.id);
    if (isDuplicate || !hasBatchSlot) return false;
    if (this.reservedTokens + request.reservedTokens > this.options.kvTokens) return false;
    this.requests.set(request.id, request);
    this.wakeSignal.notify();
    return true;
  }

  remove(id: string): boolean {
    return this.requests.delete(id);
  }

  /** Removes a request and reports how many tokens it has produced. */
  pause(id: string): boolean {
    const request = this.requests.get(id);
    if (!request) return false;
    this.requests.delete(id);
    request.onPaused(request.producedTokens);
    return true;
  }

  stop(): void {
    this.isStopped = true;
    this.wakeSignal.notify();
  }

  /** Runs steps until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const active = this.getRequests().filter((request) => request.leads);
      if (active.length === 0) {
        await this.wakeSignal.wait(IDLE_WAIT_MS);
        this.stepEndsAt = performance.now();
        continue;
      }
      await this.step(active);
    }
  }

  private async step(active: BatchRequest[]): Promise<void> {
    const decoding = active.filter((request) => request.remainingPrefillTokens === 0);
    const chunks = this.planPrefill(active);
    const prefillMs = chunks.reduce((sum, chunk) => sum + this.getPrefillMs(chunk), 0);
    await this.waitForStepEnd(
      Math.max(prefillMs, decoding.length > 0 ? this.options.decodeStepMs : 0),
    );
    chunks.forEach(({ request, tokens }) => this.prefill(request, tokens));
    decoding.forEach((request) => this.decode(request));
  }

  /** Waits for the end of the step. Later steps are shortened by the delay of late timers. */
  private async waitForStepEnd(stepMs: number): Promise<void> {
    const now = performance.now();
    this.stepEndsAt = Math.max(this.stepEndsAt, now - MAX_CATCH_UP_MS) + stepMs;
    if (this.stepEndsAt > now) await sleep(this.stepEndsAt - now);
    else await sleep(0);
  }

  private planPrefill(active: BatchRequest[]): { request: BatchRequest; tokens: number }[] {
    const prefilling = active.filter((request) => request.remainingPrefillTokens > 0);
    prefilling.sort((a, b) => a.priority - b.priority);
    let remainingMs = this.options.chunkMs;
    return prefilling.flatMap((request) => {
      const tokensPerMs = (this.options.prefillTokensPerSecond * request.prefillSpeedup) / 1000;
      const tokens = Math.min(
        request.remainingPrefillTokens,
        Math.floor(remainingMs * tokensPerMs),
      );
      remainingMs -= tokens / tokensPerMs;
      return tokens > 0 ? [{ request, tokens }] : [];
    });
  }

  private getPrefillMs({ request, tokens }: { request: BatchRequest; tokens: number }): number {
    return (tokens / (this.options.prefillTokensPerSecond * request.prefillSpeedup)) * 1000;
  }

  private prefill(request: BatchRequest, tokens: number): void {
    if (!this.requests.has(request.id)) return;
    request.remainingPrefillTokens -= tokens;
    this.processedTokens += tokens;
    if (request.remainingPrefillTokens > 0) return;
    request.onPrefilled();
    this.decode(request);
  }

  private decode(request: BatchRequest): void {
    if (!this.requests.has(request.id)) return;
    const offset = request.producedTokens;
    request.producedTokens += 1;
    this.processedTokens += 1;
    const isLast = request.producedTokens >= request.maxTokens;
    if (isLast) this.requests.delete(request.id);
    request.onToken(offset, isLast);
  }
}
