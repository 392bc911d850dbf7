import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { json, buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { PassModel } from '@azurecart/scheduling';
import type { EnginePace } from '@azurecart/scheduling';
import { MemoryTickets } from './MemoryTickets.js';
import type { TicketOrder } from './MemoryTickets.js';

/** What a fake runner is made of. */
export interface FakeRunnerOptions {
  id: string;
  service: string;
  dataCentre: string;
  pace: EnginePace;
  /** Events of each answer. */
  events?: number;
  capacity?: number;
}

/** How a runner treats the requests that it gets. */
export type RunnerConduct =
  | 'good'
  /** Writes half of its events and then nothing. */
  | 'silent'
  /** Writes half of its events and resets the connection. */
  | 'reset'
  /** Does not run it and says so. */
  | 'full'
  /** Answers with a failure of its own. */
  | 'failing'
  /** Takes connections and answers nothing at all. */
  | 'dead';

/** A request as a runner saw it. */
export interface SeenRequest {
  headers: NodeJS.Dict<string | string[]>;
  path: string;
}

const EVENTS = 6;
const CAPACITY = 8;

/**
 * A model runner of the users' platform, as its published protocol describes it: passes, tickets of
 * memory, helpers, and the ways in which it may go wrong.
 */
export class FakeRunner {
  readonly seen: SeenRequest[] = [];

  readonly tickets: MemoryTickets;

  conduct: RunnerConduct = 'good';

  private readonly server: Server;

  private readonly model: PassModel;

  private readonly bornAt = Date.now();

  private sequence = 0;

  private readEndsAt = 0;

  private writers = 0;

  private constructor(private readonly options: FakeRunnerOptions) {
    this.model = new PassModel(options.pace);
    this.tickets = new MemoryTickets(options.pace.memoryTokens);
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
  }

  static async start(options: FakeRunnerOptions): Promise<FakeRunner> {
    const runner = new FakeRunner(options);
    await new Promise<void>((resolve) => {
      runner.server.listen(0, '127.0.0.1', resolve);
    });
    return runner;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Tells a control process of itself; resolves when it is acknowledged. */
  async announce(control: string, state: 'ready' | 'draining' = 'ready'): Promise<void> {
    const { id, service, dataCentre, capacity = CAPACITY } = this.options;
    this.sequence += 1;
    const response = await fetch(`http://${control}/api/instances/${id}`, {
      method: 'PUT',
      body: JSON.stringify({
        Service: service,
        Address: this.address,
        Zone: dataCentre,
        Version: 'v1',
        Capacity: capacity,
        State: state,
        Sequence: this.sequence,
        born: this.bornAt,
      }),
    });
    if (!response.ok) throw new Error(`announcement answered ${response.status}`);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.isDead()) return;
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      request.resume();
      response.writeHead(421).end();
    } else if (request.url === '/api/report') response.writeHead(200).end('{}');
    else if (request.url === '/api/order') {
      const status = this.tickets.take((await json(request)) as TicketOrder);
      response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
    } else await this.run(request, response);
  }

  private async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await buffer(request);
    this.seen.push({ headers: request.headers, path: request.url ?? '' });
    const tokens = Number(String(request.headers['x-token-usage'] ?? '0').split(',')[0]);
    const helpers = String(request.headers['x-helpers'] ?? '')
      .split(',')
      .filter(Boolean);
    const held = helpers.filter((helper) => helper.includes('/')).length;
    const own = tokens / (held + 1);
    const head = { 'x-attempt-id': request.headers['x-attempt-id'] };
    if (this.conduct === 'full' || own > this.tickets.free)
      response.writeHead(503, { ...head, 'x-not-executed': '1' }).end();
    else if (this.conduct === 'failing')
      response.writeHead(500, { ...head, 'x-response-signature': this.options.id }).end('failed');
    else {
      await this.read(tokens, helpers.length + 1);
      // A runner that died meanwhile says nothing any more.
      if (this.isDead()) return;
      await this.write(request, response, head);
    }
  }

  private isDead(): boolean {
    return this.conduct === 'dead';
  }

  /** Reads a part of a prompt after all that is being read. */
  private async read(tokens: number, parts: number): Promise<void> {
    const now = performance.now();
    const readMs = this.model.getReadMs(tokens) / parts;
    this.readEndsAt = Math.max(this.readEndsAt, now) + readMs;
    await sleep(this.readEndsAt - now);
  }

  private async write(
    request: IncomingMessage,
    response: ServerResponse,
    head: Record<string, string | string[] | undefined>,
  ): Promise<void> {
    const { id, events = EVENTS } = this.options;
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const half = Math.ceil(events / 2);
    response.writeHead(200, {
      ...head,
      'content-type': 'text/event-stream',
      'x-response-signature': id,
    });
    this.writers += 1;
    for (let event = first; event <= events && !response.destroyed; event += 1) {
      await sleep(this.model.getPassMs(this.writers, 0));
      response.write(`id: ${event}\ndata: ${id}\n\n`);
      if (event === half && this.conduct === 'silent') return;
      if (event === half && this.conduct === 'reset') request.socket.resetAndDestroy();
    }
    this.writers -= 1;
    response.end();
  }
}
