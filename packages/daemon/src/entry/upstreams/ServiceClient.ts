import { Agent, request as startRequest } from 'node:http';
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { ByteAccumulator, ResponseCompletion } from '@azurecart/gateway';
import { OUTCOME_HEADER } from '@azurecart/protocol';
import { UpstreamError } from './UpstreamError.js';

/** A request to a plain service. */
export interface ServiceRequest {
  address: string;
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** Whether the request may be sent again after it may have run. */
  isIdempotent: boolean;
  signal: AbortSignal;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

const MAX_BODY_BYTES = 16 * 1024 * 1024;
/**
 * Headers that are not forwarded, neither in requests nor in responses: hop-by-hop headers, headers
 * that concern only the original message (`content-length`, `expect`, `host`), and the credentials
 * of the client.
 */
const UNFORWARDED_HEADERS = new Set([
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

/** HTTP client for plain services. */
export class ServiceClient {
  private readonly agent = new Agent({ keepAlive: true });

  /**
   * Sends a request and gets the complete response. A request that is not idempotent uses a new
   * connection, since a failure of a reused one does not tell whether the request arrived.
   * @throws UpstreamError whose outcome tells whether the request may have run.
   */
  send(request: ServiceRequest): Promise<ServiceResponse> {
    return new Promise((resolve, reject) => {
      const httpRequest = startRequest(new URL(request.path, request.address), {
        method: request.method,
        agent: request.isIdempotent ? this.agent : false,
        signal: request.signal,
        headers: {
          ...getForwardedHeaders(request.headers),
          'content-length': request.body.length,
        },
      });
      let hasConnected = false;
      httpRequest.on('socket', (socket) => {
        if (!socket.connecting) hasConnected = true;
        socket.once('connect', () => {
          hasConnected = true;
        });
      });
      httpRequest.on('error', (cause) => {
        reject(new UpstreamError(cause.message, hasConnected ? 'unknown' : 'not-run', { cause }));
      });
      httpRequest.on('response', (response) => {
        readResponse(httpRequest, response).then(resolve, reject);
      });
      httpRequest.end(request.body);
    });
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }
}

/** Gets the headers to forward to the next hop. */
export function getForwardedHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const forwarded = Object.entries(headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name));
  return Object.fromEntries(forwarded);
}

async function readResponse(
  httpRequest: ClientRequest,
  response: IncomingMessage,
): Promise<ServiceResponse> {
  const completion = new ResponseCompletion(response);
  const body = new ByteAccumulator(MAX_BODY_BYTES);
  try {
    for await (const chunk of response) {
      body.append(chunk as Buffer);
      if (body.length > MAX_BODY_BYTES) throw new UpstreamError('answer too long', 'unknown');
    }
    // A response without length that is reset ends like a whole one.
    if (!(await completion.isComplete())) throw new UpstreamError('answer reset', 'unknown');
  } catch (error) {
    httpRequest.destroy();
    // Also replaces the error of a response that is too long, which remains as the cause.
    throw new UpstreamError('the answer was cut short', 'unknown', { cause: error });
  }
  const status = response.statusCode ?? 0;
  if (response.headers[OUTCOME_HEADER] === 'not-run') {
    throw new UpstreamError(`refused with status ${status}`, 'not-run');
  }
  return { status, headers: response.headers, body: body.bytes };
}
