import { createClient } from '@connectrpc/connect';
import type { Client, Transport } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { DescService } from '@bufbuild/protobuf';
import type { RpcContext } from './RpcContext.js';

interface Connection {
  manager: Http2SessionManager;
  transport: Transport;
}

/** Time without data after which a connection is probed. */
const PING_INTERVAL_MS = 1000;
/** Time without an answer to a probe after which a fresh connection is used. */
const PING_TIMEOUT_MS = 800;
const IDLE_TIMEOUT_MS = 60_000;

/** Clients for the other processes: one connection for each address, probed when silent. */
export class RpcClients {
  private readonly connections = new Map<string, Connection>();

  constructor(private readonly context: RpcContext) {}

  /** Gets a client of a service at an address. */
  getClient<T extends DescService>(service: T, address: string): Client<T> {
    return createClient(service, this.getConnection(address).transport);
  }

  /** Drops the connection to an address, so that the next call opens a fresh one. */
  dropConnection(address: string): void {
    this.connections.get(address)?.manager.abort();
    this.connections.delete(address);
  }

  /** Closes all connections. */
  close(): void {
    for (const address of [...this.connections.keys()]) this.dropConnection(address);
  }

  private getConnection(address: string): Connection {
    const known = this.connections.get(address);
    if (known) return known;
    const created = this.openConnection(address);
    this.connections.set(address, created);
    return created;
  }

  private openConnection(address: string): Connection {
    const baseUrl = `http://${address}`;
    const manager = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      pingIdleConnection: true,
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: manager,
      interceptors: [this.context.clientInterceptor],
    });
    return { manager, transport };
  }
}
