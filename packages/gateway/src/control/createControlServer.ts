import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Logger } from '@azurecart/telemetry';
import type { ControlInterface, ControlProtocol } from './ControlInterface.js';

/** Options of {@link createControlServer}. */
export interface ControlServerOptions {
  protocol: ControlProtocol;
  control: ControlInterface;
  logger: Logger;
}

/** Maximum size of a request body in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Creates the HTTP server for operators and upstreams. */
export function createControlServer(options: ControlServerOptions): Server {
  return createServer((request, response) => {
    handleRequest(request, response, options).catch((error: unknown) => {
      options.logger.warn(
        { err: error, path: request.url },
        'failed to handle a request of an operator or upstream',
      );
      if (response.headersSent) response.destroy();
      else send(response, 500, Buffer.from('{}'));
    });
  });
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  { protocol, control }: ControlServerOptions,
): Promise<void> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      send(response, 413, Buffer.from('{}'));
      return;
    }
    chunks.push(chunk);
  }
  const { method = 'GET', url = '/' } = request;
  const result = await protocol.handle({ method, path: url, body: Buffer.concat(chunks) }, control);
  send(response, result.status, result.body);
}

function send(response: ServerResponse, status: number, body: Uint8Array): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}
