import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { RequestListener, Server, ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Listener } from '../settings/index.js';

/** Creates an HTTP server, or an HTTPS server when the listener has TLS settings. */
export function createHttpServer(
  listener: Listener,
  options: ServerOptions,
  handler: RequestListener,
): Server {
  if (!listener.tls) return createServer(options, handler);
  const cert = readFileSync(listener.tls.certificateFile);
  const key = readFileSync(listener.tls.keyFile);
  return createTlsServer({ ...options, cert, key }, handler);
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
