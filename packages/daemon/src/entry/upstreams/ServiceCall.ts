import { Agent, request as startRequest } from 'node:http';
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import { StreamFault } from './StreamFault.js';

/** A call of a plain service. */
export interface ServiceCall {
  address: string;
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** True when the call may be sent again. */
  isIdempotent: boolean;
  signal: AbortSignal;
}

/** A whole answer of a plain service. */
export interface ServiceAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Calls plain services. */
export class ServiceCalls {
  private readonly agent = new Agent({ keepAlive: true });

  /**
   * Makes a call and gets its whole answer. A call that may not be repeated uses a connection of
   * its own, since a reused one that breaks does not tell whether the call arrived.
   * @throws StreamFault telling whether the call can have run.
   */
  call(call: ServiceCall): Promise<ServiceAnswer> {
    return new Promise((resolve, reject) => {
      const request = startRequest(new URL(call.path, call.address), {
        method: call.method,
        agent: call.isIdempotent ? this.agent : false,
        signal: call.signal,
        headers: { ...passOn(call.headers), 'content-length': call.body.length },
      });
      let hasConnected = false;
      request.on('socket', (socket) => {
        if (!socket.connecting) hasConnected = true;
        socket.once('connect', () => {
          hasConnected = true;
        });
      });
      request.on('error', (cause) => {
        reject(new StreamFault(cause.message, hasConnected ? 'unknown' : 'not-run', { cause }));
      });
      request.on('response', (response) => {
        readAnswer(request, response).then(resolve, reject);
      });
      request.end(call.body);
    });
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }
}

/** Gets the headers that go on to the next hop. */
export function passOn(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const kept = Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name));
  return Object.fromEntries(kept);
}

async function readAnswer(
  request: ClientRequest,
  response: IncomingMessage,
): Promise<ServiceAnswer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of response) {
      bytes += (chunk as Buffer).length;
      if (bytes > BODY_LIMIT_BYTES) throw new StreamFault('answer too long', 'unknown');
      chunks.push(chunk as Buffer);
    }
  } catch (error) {
    request.destroy();
    throw new StreamFault('the answer was cut short', 'unknown', { cause: error });
  }
  const status = response.statusCode ?? 0;
  if (response.headers[OUTCOME_HEADER] === 'not-run') {
    throw new StreamFault(`refused with status ${status}`, 'not-run');
  }
  return { status, headers: response.headers, body: Buffer.concat(chunks) };
}
