import { createHash, randomUUID } from 'node:crypto';
import { appendFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  BLOCK_TOKENS,
  commandSchema,
  EngineHeader,
  estimateTokens,
  getPromptText,
  hashPrefixes,
  OUTCOME_HEADER,
  promptSchema,
  UpstreamPath,
} from '@azurecart/protocol';
import type { Command, EngineState, Frame, LoadedModel } from '@azurecart/protocol';
import { Announcer } from '../harness/Announcer.js';
import { readBody, sendJson } from '../harness/http.js';
import { BatchModel } from './BatchModel.js';
import type { FakeEngineSettings } from './FakeEngineSettings.js';
import { PrefixCache } from './PrefixCache.js';

/** Statistics of a fake engine that tests check. */
export interface FakeEngineStats {
  id: string;
  /** KV cache memory reserved now, in tokens. */
  held: number;
  /** Ids of the requests that were started. */
  runs: string[];
  /** Requests started with a fencing token below the highest one seen. */
  staleStarts: number;
  refusedStarts: number;
  /**
   * Longest time in milliseconds between the announced departure and a later start, counted from the
   * time at which an entry process accepted the announcement or the engine gave up announcing it.
   */
  startAfterLeaveMs: number;
  processedTokens: number;
  /**
   * 1 when the reserved memory exceeds the capacity, otherwise 0. `BatchModel.add` refuses requests
   * that would exceed it, so 1 shows a fault of the fake engine itself.
   */
  overfilled: number;
}

const CACHE_EVENT_INTERVAL_MS = 200;
/**
 * Fraction of the stray frames that carry another request id, among those that precede a frame with
 * an offset above 0. Before the frame with offset 0, all do.
 */
const FOREIGN_FRAME_RATIO = 0.1;
/** Interval of the event stream comments that keep the connection of a waiting request alive. */
const KEEP_ALIVE_INTERVAL_MS = 1000;

/** Gets the text of an output token, which contains prompt and offset so that tests detect mix-ups. */
export function getTokenText(promptDigest: string, offset: number): string {
  return `${promptDigest}:${offset} `;
}

/** Gets the digest of a prompt, which each token of its answer contains. */
export function getPromptDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 8);
}

/**
 * Writes a frame that is not part of the answer: one with the previous offset, or one of another
 * request (at offset 0 always the latter).
 */
function writeStrayFrame(response: ServerResponse, id: string, offset: number): void {
  const isForeign = offset === 0 || Math.random() < FOREIGN_FRAME_RATIO;
  const frame: Frame = {
    id: isForeign ? `${id}-other` : id,
    offset: Math.max(0, offset - 1),
    text: 'stray ',
    tokens: 1,
    finish: null,
  };
  response.write(`data: ${JSON.stringify(frame)}\n\n`);
}

/** Simulates a model engine over the upstream protocol. */
export class FakeEngine {
  private readonly server: Server;

  private readonly batch: BatchModel;

  private readonly cache: PrefixCache;

  private readonly incarnation = randomUUID();

  private readonly models = new Map<string, LoadedModel>();

  private readonly announcer: Announcer;

  private readonly startedRequestIds: string[] = [];

  private highestFence = 0;

  private staleStarts = 0;

  private refusedStarts = 0;

  private departedAt: number | undefined;

  private startAfterLeaveMs = 0;

  private cacheSequence = 0;

  private loadReport = { at: performance.now(), running: 0, queuedTokens: 0 };

  private isStopped = false;

  constructor(private readonly settings: FakeEngineSettings) {
    this.batch = new BatchModel(settings);
    this.cache = new PrefixCache(settings.cacheBlocks);
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.announcer = new Announcer(settings, () => this.getAnnouncement());
  }

  async start(): Promise<void> {
    const { port } = this.settings;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.batch.run().catch(() => undefined);
    this.announcer.run().catch(() => undefined);
    this.publishCacheEvents().catch(() => undefined);
    this.runLoadReports().catch(() => undefined);
  }

  /** Announces the departure. Running requests continue, and new ones are still accepted. */
  async leave(): Promise<void> {
    await this.announcer.leave();
    this.departedAt = performance.now();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    this.announcer.stop();
    this.batch.stop();
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  getStats(): FakeEngineStats {
    return {
      id: this.settings.id,
      held: this.batch.reservedTokens,
      runs: this.startedRequestIds,
      staleStarts: this.staleStarts,
      refusedStarts: this.refusedStarts,
      startAfterLeaveMs: this.startAfterLeaveMs,
      processedTokens: this.batch.processedTokens,
      overfilled: Number(this.batch.reservedTokens > this.settings.kvTokens),
    };
  }

  private getAnnouncement(): Record<string, unknown> {
    const { kvTokens, maxBatch, prefillTokensPerSecond, decodeStepMs, pool } = this.settings;
    const { at, running, queuedTokens } = this.loadReport;
    return {
      incarnation: this.incarnation,
      kind: 'engine',
      pool,
      address: `http://127.0.0.1:${this.settings.port}`,
      engine: { kvTokens, maxBatch, prefillTokensPerSecond, decodeStepMs },
      load: { ageMs: Math.max(0, performance.now() - at), running, queuedTokens },
    };
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/fake/stats') sendJson(response, 200, this.getStats());
    else if (request.url === '/fake/announcement')
      sendJson(response, 200, this.announcer.createAnnouncement());
    else if (request.url === '/fake/leave') {
      await this.leave();
      sendJson(response, 200, {});
    } else if (request.headers.authorization !== `Bearer ${this.settings.secret}`) {
      sendJson(response, 401, { error: 'wrong secret' });
    } else if (request.url === UpstreamPath.state) sendJson(response, 200, this.getState());
    else if (request.url === UpstreamPath.commands) await this.handleCommand(request, response);
    else await this.handlePrompt(request, response);
  }

  private getState(): EngineState {
    return {
      incarnation: this.incarnation,
      fence: this.highestFence,
      leaving: this.departedAt !== undefined,
      models: [...this.models.values()],
      held: this.batch.getRequests().map(({ id, reservedTokens: tokens, fence, leads }) => ({
        request: id,
        tokens,
        fence,
        leads,
      })),
      cache: { sequence: this.cacheSequence, prefixes: this.cache.getPrefixes() },
    };
  }

  private async handleCommand(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const command = commandSchema.parse(JSON.parse((await readBody(request)).toString()));
    if (this.settings.checksFence && command.fence < this.highestFence) {
      sendJson(response, 409, { reason: 'stale fence', fence: this.highestFence });
      return;
    }
    this.highestFence = Math.max(this.highestFence, command.fence);
    const isDone = await this.execute(command);
    sendJson(response, isDone ? 200 : 503, { done: isDone });
  }

  private async execute({ action, fence }: Command): Promise<boolean> {
    switch (action.kind) {
      case 'load':
        await sleep(this.settings.loadMs);
        this.models.set(action.model.name, action.model);
        return true;
      case 'unload':
        this.models.delete(action.model);
        return true;
      case 'cancel':
        this.batch.remove(action.request);
        return true;
      case 'pause':
        this.batch.pause(action.request);
        return true;
      case 'hold':
        return this.reserveMemory(action.request, action.tokens, fence);
      default:
        return true;
    }
  }

  private reserveMemory(id: string, reservedTokens: number, fence: number): boolean {
    return this.batch.add({
      id,
      fence,
      reservedTokens,
      leads: false,
      priority: 0,
      remainingPrefillTokens: 0,
      producedTokens: 0,
      maxTokens: 0,
      prefillSpeedup: 1,
      onToken: () => {},
      onPrefilled: () => {},
      onPaused: () => {},
    });
  }

  private async handlePrompt(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { headers } = request;
    const fence = Number(headers[EngineHeader.fence]);
    const body = promptSchema.parse(JSON.parse((await readBody(request)).toString()));
    if (this.settings.checksFence && fence < this.highestFence) {
      this.refuse(response, 409);
      return;
    }
    if (!this.models.has(body.model)) {
      this.refuse(response, 404);
      return;
    }
    this.startPrompt(request, response, getPromptText(body), fence);
  }

  private refuse(response: ServerResponse, status: number): void {
    this.refusedStarts += 1;
    response.setHeader(OUTCOME_HEADER, 'not-run');
    sendJson(response, status, {});
  }

  private startPrompt(
    request: IncomingMessage,
    response: ServerResponse,
    text: string,
    fence: number,
  ): void {
    const { headers } = request;
    const id = String(headers[EngineHeader.request]);
    const prefixes = hashPrefixes(text);
    const cachedTokens = this.cache.countLeadingHits(prefixes) * BLOCK_TOKENS;
    const peers = String(headers[EngineHeader.peers] ?? '')
      .split(',')
      .filter(Boolean);
    const producedTokens = Number(headers[EngineHeader.offset]);
    const promptDigest = getPromptDigest(text);
    const writeFrame = (frame: Omit<Frame, 'id'>): void => {
      if (Math.random() < this.settings.strayRate) writeStrayFrame(response, id, frame.offset);
      response.write(`data: ${JSON.stringify({ id, ...frame })}\n\n`);
      if (frame.finish) response.end('data: [DONE]\n\n');
    };
    const isAdded = this.batch.add({
      id,
      fence,
      reservedTokens: Number(headers[EngineHeader.tokens]),
      leads: true,
      priority: Number(headers[EngineHeader.priority]),
      remainingPrefillTokens: Math.max(1, estimateTokens(text) + producedTokens - cachedTokens),
      producedTokens,
      maxTokens: Number(headers[EngineHeader.maxTokens]),
      prefillSpeedup: 1 + peers.length,
      onToken: (offset, isLast) => {
        const finish = isLast ? 'stop' : null;
        writeFrame({ offset, text: getTokenText(promptDigest, offset), tokens: 1, finish });
      },
      onPrefilled: () => this.cache.add(prefixes),
      onPaused: (offset) => writeFrame({ offset, text: '', tokens: 0, finish: 'paused' }),
    });
    if (!isAdded) {
      this.refuse(response, 503);
      return;
    }
    this.recordStart(id, fence);
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    const timer = setInterval(() => response.write(': alive\n\n'), KEEP_ALIVE_INTERVAL_MS);
    response.on('close', () => {
      clearInterval(timer);
      this.batch.remove(id);
    });
  }

  private recordStart(id: string, fence: number): void {
    this.startedRequestIds.push(id);
    const { runFile } = this.settings;
    const isStale = fence < this.highestFence;
    const sinceLeaveMs = this.departedAt === undefined ? 0 : performance.now() - this.departedAt;
    const record = { name: id, attempt: '', isStale, sinceLeaveMs };
    if (runFile) appendFileSync(runFile, `${JSON.stringify(record)}\n`);
    if (isStale) this.staleStarts += 1;
    this.highestFence = Math.max(this.highestFence, fence);
    this.startAfterLeaveMs = Math.max(this.startAfterLeaveMs, sinceLeaveMs);
  }

  private async runLoadReports(): Promise<void> {
    while (!this.isStopped) {
      const { running, queuedTokens } = this.batch;
      const at = performance.now();
      await sleep(this.settings.reportLagMs);
      this.loadReport = { at, running, queuedTokens };
    }
  }

  private async publishCacheEvents(): Promise<void> {
    while (!this.isStopped) {
      await sleep(CACHE_EVENT_INTERVAL_MS);
      const change = this.cache.takePendingChange();
      if (change.added.length + change.removed.length === 0) continue;
      this.cacheSequence += 1;
      const isLost = Math.random() < this.settings.gapRate;
      const event = { incarnation: this.incarnation, sequence: this.cacheSequence, ...change };
      if (!isLost)
        await this.announcer.post(UpstreamPath.cacheEvents, event).catch(() => undefined);
    }
  }
}
