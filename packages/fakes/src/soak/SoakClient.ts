import { Agent, request as sendRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { GatewayProcess } from '../harness/index.js';
import { HOST } from './configuration.js';
import type { SoakRoute } from './configuration.js';

/** A request to send. */
export interface SoakRequest {
  /** Attempt id. */
  id: string;
  route: SoakRoute;
  method: 'GET' | 'POST';
  path: string;
  body: string;
  customer: { name: string; key: string };
  /** Number of prompt and output tokens; undefined for plain calls. */
  tokens?: { prompt: number; output: number };
  /** Ids of the parts of the prompt; the last one belongs to the request. */
  parts?: string[];
  /** Time after which the client leaves, in milliseconds. */
  leavesAfterMs?: number;
}

/** How a request ended, as its client saw it; times are monotonic milliseconds. */
export interface SoakResult extends SoakRequest {
  entry: string;
  lifetime: number;
  isKeptConnection: boolean;
  /** True if the connection goes through a relay, which accepts it even if the process is gone. */
  isRelayed: boolean;
  sentAt: number;
  /** Time at which the last byte was handed to the kernel; undefined if that did not happen. */
  flushedAt: number | undefined;
  endedAt: number;
  /**
   * `answered` means complete; `cut` that the connection ended before that; `left` and `overdue` that
   * the client closed it.
   */
  ending: 'answered' | 'cut' | 'unconnected' | 'left' | 'overdue' | 'malformed';
  status: number;
  headers: IncomingMessage['headers'];
  answer: string;
  error: string;
}

const TOKENS_PER_PART = 40;
/** Time past its deadline for which a client waits for the answer, in milliseconds. */
const OVERDUE_MS = 1500;
/** Message of Node.js for a connection that ended in an orderly way before the answer. */
export const HANG_UP = 'socket hang up';

/** Options of a {@link SoakClient}. */
export interface SoakClientOptions {
  /** Picks the entry process for a new connection. */
  pickEntry: () => GatewayProcess;
  /** Address of the relay to an entry process; without it, the connections are direct. */
  getRelayAddress?: (entry: GatewayProcess) => string;
  /** Called before a request is sent. */
  onSend: (request: SoakRequest, entry: string) => void;
}

/** Client with one connection, which is used until the other side closes it. */
export class SoakClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private entry: GatewayProcess | undefined;

  private lifetime = 0;

  private socket: Socket | undefined;

  constructor(private readonly options: SoakClientOptions) {}

  /** Sends a request and waits for its end; never rejects. */
  send(request: SoakRequest): Promise<SoakResult> {
    const { getRelayAddress } = this.options;
    const isKept = this.socket !== undefined && !this.socket.destroyed;
    const entry = isKept && this.entry ? this.entry : this.options.pickEntry();
    if (!isKept) this.lifetime = entry.lifetime;
    this.entry = entry;
    this.options.onSend(request, entry.name);
    const result: SoakResult = {
      ...request,
      entry: entry.name,
      lifetime: this.lifetime,
      isKeptConnection: isKept,
      isRelayed: getRelayAddress !== undefined,
      sentAt: performance.now(),
      flushedAt: undefined,
      endedAt: 0,
      ending: 'cut',
      status: 0,
      headers: {},
      answer: '',
      error: '',
    };
    return new Promise((resolve) => {
      const clientRequest = this.open(request, getRelayAddress?.(entry) ?? entry.address);
      const timers: NodeJS.Timeout[] = [];
      const finish = (ending: SoakResult['ending'], error = ''): void => {
        if (result.endedAt > 0) return;
        timers.forEach(clearTimeout);
        Object.assign(result, { ending, error, endedAt: performance.now() });
        if (ending !== 'answered') clientRequest.destroy();
        resolve(result);
      };
      const finishAfter = (ms: number, ending: SoakResult['ending']): void => {
        timers.push(setTimeout(() => finish(ending), ms));
      };
      finishAfter(request.route.deadlineMs + OVERDUE_MS, 'overdue');
      if (request.leavesAfterMs !== undefined) finishAfter(request.leavesAfterMs, 'left');
      clientRequest.on('socket', (socket) => this.observe(socket));
      clientRequest.on('finish', () => {
        result.flushedAt = performance.now();
      });
      clientRequest.on('error', (error: NodeJS.ErrnoException) =>
        finish(getErrorEnding(error), getErrorText(error)),
      );
      clientRequest.on('response', (response) => {
        result.status = response.statusCode ?? 0;
        result.headers = response.headers;
        response.on('data', (chunk: Buffer) => {
          result.answer += chunk.toString();
        });
        response.on('end', () => finish(response.complete ? 'answered' : 'cut'));
        response.on('error', (error) => finish('cut', error.message));
      });
      clientRequest.end(request.body);
    });
  }

  close(): void {
    this.agent.destroy();
  }

  private open(request: SoakRequest, address: string): ClientRequest {
    const { tokens, parts } = request;
    const [host, port] = address.split(':');
    return sendRequest({
      host,
      port,
      agent: this.agent,
      method: request.method,
      path: request.path,
      headers: {
        host: HOST,
        authorization: `Token ${request.customer.key}`,
        'x-attempt-id': request.id,
        'x-deadline-ms': String(request.route.deadlineMs),
        ...(tokens && { 'x-model': 'm', 'x-token-usage': `${tokens.prompt},${tokens.output}` }),
        ...(parts && { 'x-prefix-hash': formatParts(parts) }),
        'content-length': Buffer.byteLength(request.body),
      },
    });
  }

  private observe(socket: Socket): void {
    if (this.socket === socket) return;
    this.socket = socket;
    socket.once('close', () => {
      if (this.socket === socket) this.socket = undefined;
    });
  }
}

/** Formats the parts of a prompt as the header that lists them. */
export function formatParts(parts: string[]): string {
  return parts.map((part) => `${part}:${TOKENS_PER_PART}`).join(',');
}

function getErrorEnding(error: NodeJS.ErrnoException): SoakResult['ending'] {
  if (error.code === 'ECONNREFUSED') return 'unconnected';
  return error.code?.startsWith('HPE_') ? 'malformed' : 'cut';
}

function getErrorText({ message, code }: NodeJS.ErrnoException): string {
  return message === HANG_UP ? message : (code ?? message);
}
