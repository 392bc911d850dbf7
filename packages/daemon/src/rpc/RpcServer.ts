import { createServer } from 'node:http2';
import type { Http2Server, ServerHttp2Session } from 'node:http2';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { ConnectRouter } from '@connectrpc/connect';
import type { Listener } from '../settings/index.js';
import type { RpcContext } from './RpcContext.js';

const READ_LIMIT_BYTES = 256 * 1024 * 1024;

/** What an RPC server is made of. */
export interface RpcServerOptions {
  listener: Listener;
  context: RpcContext;
  routes: (router: ConnectRouter) => void;
}

/** The listener for the other processes of the system: HTTP/2 without TLS. */
export class RpcServer {
  private readonly server: Http2Server;

  private readonly sessions = new Set<ServerHttp2Session>();

  constructor(private readonly options: RpcServerOptions) {
    const { routes, context } = options;
    const handler = connectNodeAdapter({
      routes,
      interceptors: [context.serverInterceptor],
      readMaxBytes: READ_LIMIT_BYTES,
    });
    this.server = createServer(handler);
    this.server.on('session', (session) => this.addSession(session));
  }

  /** Starts listening. */
  async start(): Promise<void> {
    const { host, port } = this.options.listener;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Closes the listener and all its connections. */
  async stop(): Promise<void> {
    this.sessions.forEach((session) => session.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private addSession(session: ServerHttp2Session): void {
    this.sessions.add(session);
    session.on('close', () => this.sessions.delete(session));
    session.on('error', () => session.destroy());
  }
}
