import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Ingress } from '@azurecart/ingress';
import type { MemoryBudget } from '@azurecart/scheduling';
import type { Logger } from '@azurecart/telemetry';
import { BodyTooLargeError, OutOfMemoryError, readBody } from '../upstreams/index.js';
import type { ControlInterface, ControlProtocol } from './ControlInterface.js';

/** Options of {@link createControlServer}. */
export interface ControlServerOptions {
  protocol: ControlProtocol;
  control: ControlInterface;
  ingress: Ingress;
  /** Memory for the bodies of requests. */
  bodyMemory: MemoryBudget;
  /** Maximum size of a request body in bytes. */
  maxBodyBytes: number;
  logger: Logger;
}

/** Time in ms in which a body must arrive. */
const BODY_TIMEOUT_MS = 30_000;
/** Time in ms for which a body may wait for memory. */
const BODY_WAIT_MS = 5000;

/** Creates the HTTP server for operators and upstreams. */
export function createControlServer(options: ControlServerOptions): Server {
  const { ingress } = options;
  const server = createServer(ingress.serverOptions, (request, response) => {
    handleRequest(request, response, options).catch((error: unknown) => {
      options.logger.warn(
        { err: error, path: request.url },
        'failed to handle a request of an operator or upstream',
      );
      if (response.headersSent) response.destroy();
      else send(response, 500, Buffer.from('{}'));
    });
  });
  ingress.protect(server);
  return server;
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  { protocol, control, bodyMemory, maxBodyBytes }: ControlServerOptions,
): Promise<void> {
  const holder = bodyMemory.open();
  const timer = setTimeout(() => request.destroy(), BODY_TIMEOUT_MS);
  try {
    if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes)
      throw new BodyTooLargeError(`body exceeds ${maxBodyBytes} bytes`);
    const body = await readBody(request, {
      maxBytes: maxBodyBytes,
      holder,
      getWaitSignal: () => AbortSignal.timeout(BODY_WAIT_MS),
    });
    clearTimeout(timer);
    const { method = 'GET', url = '/' } = request;
    const result = await protocol.handle({ method, path: url, body }, control);
    send(response, result.status, result.body);
  } catch (error) {
    const status = getErrorStatus(error);
    if (status === undefined) throw error;
    request.resume();
    send(response, status, Buffer.from('{}'));
  } finally {
    clearTimeout(timer);
    holder.release();
  }
}

/** Gets the status for a body that was not read; undefined for other errors. */
function getErrorStatus(error: unknown): number | undefined {
  if (error instanceof BodyTooLargeError) return 413;
  return error instanceof OutOfMemoryError ? 503 : undefined;
}

function send(response: ServerResponse, status: number, body: Uint8Array): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}
