import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { RequestListener, Server, ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Ingress } from '@azurecart/ingress';
import type { Listener } from '../settings/index.js';

/**
 * Creates an HTTP server, or an HTTPS server when the listener has TLS settings, whose clients are
 * kept within the limits of an ingress.
 */
export function createHttpServer(
  { tls }: Listener,
  options: ServerOptions,
  ingress: Ingress,
  handler: RequestListener,
): Server {
  const serverOptions = { ...options, ...ingress.serverOptions };
  if (!tls) {
    const server = createServer(serverOptions, handler);
    ingress.protect(server);
    return server;
  }
  const cert = readFileSync(tls.certificateFile);
  const key = readFileSync(tls.keyFile);
  const server = createTlsServer({ ...serverOptions, cert, key }, handler);
  ingress.protect(server, 'secureConnection');
  return server;
}

/** Starts listening; rejects when the server cannot listen, for example if the port is in use. */
export function listen(server: Server, { host, port }: Listener): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/** Closes a server and all its connections, including those with open requests. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
