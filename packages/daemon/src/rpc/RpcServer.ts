import type { Server } from 'node:http';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { ConnectRouter } from '@connectrpc/connect';
import { closeServer, createHttpServer, createIngress, listen } from '../http/index.js';
import type { Listener } from '../settings/index.js';
import type { RpcInterceptors } from './RpcInterceptors.js';

/**
 * Assumed to be enough for a snapshot of the control state, which is sent as one message. The
 * number of claims in it is not limited, and each can contain a body of 64 KiB.
 */
const MAX_MESSAGE_BYTES = 256 * 1024 * 1024;

/** Options of {@link RpcServer}. */
export interface RpcServerOptions {
  listener: Listener;
  interceptors: RpcInterceptors;
  routes: (router: ConnectRouter) => void;
}

/** RPC server for the other processes of the system. */
export class RpcServer {
  private readonly server: Server;

  constructor(private readonly options: RpcServerOptions) {
    const { routes, interceptors, listener } = options;
    const handler = connectNodeAdapter({
      routes,
      interceptors: [interceptors.serverInterceptor],
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    this.server = createHttpServer(
      listener,
      { keepAliveTimeout: 0, requestTimeout: 0 },
      createIngress({ name: 'rpc', maxDrainBytes: MAX_MESSAGE_BYTES }),
      handler,
    );
  }

  async start(): Promise<void> {
    await listen(this.server, this.options.listener);
  }

  /** Closes the listener and all its connections. */
  async stop(): Promise<void> {
    await closeServer(this.server);
  }
}
