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
import { readAll, sendJson } from '../harness/httpTools.js';
import { BatchModel } from './BatchModel.js';
import type { FakeEngineSettings } from './FakeEngineSettings.js';
import { PrefixCache } from './PrefixCache.js';

/** What a fake engine saw, for the checks of tests. */
export interface FakeEngineStats {
  id: string;
  held: number;
  runs: string[];
  /** Starts under a fencing number below the highest one seen. */
  staleStarts: number;
  refusedStarts: number;
  /** Longest time from leaving to a start, in milliseconds. */
  startAfterLeaveMs: number;
  processedTokens: number;
  overfilled: number;
}

const CACHE_EVENT_MS = 200;
/** Share of stray frames that belong to another request. */
const FOREIGN_SHARE = 0.1;
/** Time between two comments in an answer, by which a waiting engine shows that it is alive. */
const COMMENT_MS = 1000;

/** Gets the text of an answer token: it tells prompt and position, so that a mix-up shows. */
export function getTokenText(prompt: string, offset: number): string {
  return `${prompt}:${offset} `;
}

/** Gets the mark of a prompt that its answer repeats. */
export function getPromptMark(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 8);
}

/** Writes a frame that is late, or now and then one of another request. */
function writeStray(response: ServerResponse, id: string, offset: number): void {
  const isForeign = offset === 0 || Math.random() < FOREIGN_SHARE;
  const stray: Frame = {
    id: isForeign ? `${id}-other` : id,
    offset: Math.max(0, offset - 1),
    text: 'stray ',
    tokens: 1,
    finish: null,
  };
  response.write(`data: ${JSON.stringify(stray)}\n\n`);
}

/** A small stand-in for a model engine. */
export class FakeEngine {
  private readonly server: Server;

  private readonly batch: BatchModel;

  private readonly cache: PrefixCache;

  private readonly incarnation = randomUUID();

  private readonly models = new Map<string, LoadedModel>();

  private readonly announcer: Announcer;

  private readonly runs: string[] = [];

  private fence = 0;

  private staleStarts = 0;

  private refusedStarts = 0;

  private leftAt: number | undefined;

  private startAfterLeaveMs = 0;

  private cacheSequence = 0;

  private report = { at: performance.now(), running: 0, queuedTokens: 0 };

  private isStopped = false;

  constructor(private readonly settings: FakeEngineSettings) {
    this.batch = new BatchModel(settings);
    this.cache = new PrefixCache(settings.cacheBlocks);
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
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
    this.runCacheEvents().catch(() => undefined);
    this.runReports().catch(() => undefined);
  }

  /** Leaves: tells the system, and finishes what runs. */
  async leave(): Promise<void> {
    await this.announcer.leave();
    this.leftAt = performance.now();
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
      held: this.batch.heldTokens,
      runs: this.runs,
      staleStarts: this.staleStarts,
      refusedStarts: this.refusedStarts,
      startAfterLeaveMs: this.startAfterLeaveMs,
      processedTokens: this.batch.processedTokens,
      overfilled: Number(this.batch.heldTokens > this.settings.kvTokens),
    };
  }

  private getAnnouncement(): Record<string, unknown> {
    const { kvTokens, maxBatch, prefillTokensPerSecond, decodeStepMs, pool } = this.settings;
    const { at, running, queuedTokens } = this.report;
    return {
      incarnation: this.incarnation,
      kind: 'engine',
      pool,
      address: `http://127.0.0.1:${this.settings.port}`,
      engine: { kvTokens, maxBatch, prefillTokensPerSecond, decodeStepMs },
      load: { ageMs: Math.max(0, performance.now() - at), running, queuedTokens },
    };
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/fake/stats') sendJson(response, 200, this.getStats());
    else if (request.url === '/fake/announcement') sendJson(response, 200, this.announcer.next());
    else if (request.url === '/fake/leave') {
      await this.leave();
      sendJson(response, 200, {});
    } else if (request.headers.authorization !== `Bearer ${this.settings.secret}`) {
      sendJson(response, 401, { error: 'wrong secret' });
    } else if (request.url === UpstreamPath.state) sendJson(response, 200, this.getState());
    else if (request.url === UpstreamPath.commands) await this.serveCommand(request, response);
    else await this.servePrompt(request, response);
  }

  private getState(): EngineState {
    return {
      incarnation: this.incarnation,
      fence: this.fence,
      leaving: this.leftAt !== undefined,
      models: [...this.models.values()],
      held: this.batch
        .getAll()
        .map(({ id, tokens, fence, leads }) => ({ request: id, tokens, fence, leads })),
      cache: { sequence: this.cacheSequence, prefixes: this.cache.getAll() },
    };
  }

  private async serveCommand(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const command = commandSchema.parse(JSON.parse((await readAll(request)).toString()));
    if (this.settings.checksFence && command.fence < this.fence) {
      sendJson(response, 409, { reason: 'stale fence', fence: this.fence });
      return;
    }
    this.fence = Math.max(this.fence, command.fence);
    const isDone = await this.carryOut(command);
    sendJson(response, isDone ? 200 : 503, { done: isDone });
  }

  private async carryOut({ action, fence }: Command): Promise<boolean> {
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
        return this.hold(action.request, action.tokens, fence);
      default:
        return true;
    }
  }

  private hold(id: string, tokens: number, fence: number): boolean {
    return this.batch.add({
      id,
      fence,
      tokens,
      leads: false,
      priority: 0,
      prefillLeft: 0,
      produced: 0,
      maxTokens: 0,
      speed: 1,
      onToken: () => {},
      onPrefilled: () => {},
      onPaused: () => {},
    });
  }

  private async servePrompt(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { headers } = request;
    const fence = Number(headers[EngineHeader.fence]);
    const body = promptSchema.parse(JSON.parse((await readAll(request)).toString()));
    if (this.settings.checksFence && fence < this.fence) {
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
    const cached = this.cache.getHits(prefixes) * BLOCK_TOKENS;
    const peers = String(headers[EngineHeader.peers] ?? '')
      .split(',')
      .filter(Boolean);
    const produced = Number(headers[EngineHeader.offset]);
    const mark = getPromptMark(text);
    const send = (frame: Omit<Frame, 'id'>): void => {
      if (Math.random() < this.settings.strayRate) writeStray(response, id, frame.offset);
      response.write(`data: ${JSON.stringify({ id, ...frame })}\n\n`);
      if (frame.finish) response.end('data: [DONE]\n\n');
    };
    const isAdded = this.batch.add({
      id,
      fence,
      tokens: Number(headers[EngineHeader.tokens]),
      leads: true,
      priority: Number(headers[EngineHeader.priority]),
      prefillLeft: Math.max(1, estimateTokens(text) + produced - cached),
      produced,
      maxTokens: Number(headers[EngineHeader.maxTokens]),
      speed: 1 + peers.length,
      onToken: (offset, isLast) => {
        const finish = isLast ? 'stop' : null;
        send({ offset, text: getTokenText(mark, offset), tokens: 1, finish });
      },
      onPrefilled: () => this.cache.add(prefixes),
      onPaused: (offset) => send({ offset, text: '', tokens: 0, finish: 'paused' }),
    });
    if (!isAdded) {
      this.refuse(response, 503);
      return;
    }
    this.recordStart(id, fence);
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    const timer = setInterval(() => response.write(': alive\n\n'), COMMENT_MS);
    response.on('close', () => {
      clearInterval(timer);
      this.batch.remove(id);
    });
  }

  private recordStart(id: string, fence: number): void {
    this.runs.push(id);
    const { runFile } = this.settings;
    const isStale = fence < this.fence;
    const sinceLeaveMs = this.leftAt === undefined ? 0 : performance.now() - this.leftAt;
    const note = { name: id, attempt: '', isStale, sinceLeaveMs };
    if (runFile) appendFileSync(runFile, `${JSON.stringify(note)}\n`);
    if (isStale) this.staleStarts += 1;
    this.fence = Math.max(this.fence, fence);
    this.startAfterLeaveMs = Math.max(this.startAfterLeaveMs, sinceLeaveMs);
  }

  private async runReports(): Promise<void> {
    while (!this.isStopped) {
      const { running, queuedTokens } = this.batch;
      const at = performance.now();
      await sleep(this.settings.reportLagMs);
      this.report = { at, running, queuedTokens };
    }
  }

  private async runCacheEvents(): Promise<void> {
    while (!this.isStopped) {
      await sleep(CACHE_EVENT_MS);
      const change = this.cache.takeChange();
      if (change.added.length + change.removed.length === 0) continue;
      this.cacheSequence += 1;
      const isLost = Math.random() < this.settings.gapRate;
      const event = { incarnation: this.incarnation, sequence: this.cacheSequence, ...change };
      if (!isLost)
        await this.announcer.post(UpstreamPath.cacheEvents, event).catch(() => undefined);
    }
  }
}
