import { createClient } from '@connectrpc/connect';
import type { Client, Transport } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { DescService } from '@bufbuild/protobuf';
import type { RpcContext } from './RpcContext.js';

interface Connection {
  manager: Http2SessionManager;
  transport: Transport;
}

const IDLE_TIMEOUT_MS = 60_000;
/** Time for which the calls on a connection that was given up may still be answered. */
const GIVE_UP_MS = 2000;

/**
 * Clients for the other processes: one connection for each address.
 * @remarks Every peer is called several times a second with a timeout each. A call without an
 * answer makes the caller give the connection up, so one that has gone silent is soon replaced.
 */
export class RpcClients {
  private readonly connections = new Map<string, Connection>();

  constructor(private readonly context: RpcContext) {}

  /** Gets a client of a service at an address. */
  getClient<T extends DescService>(service: T, address: string): Client<T> {
    return createClient(service, this.getConnection(address).transport);
  }

  /** Gives up the connection to an address: the next call opens a fresh one. */
  dropConnection(address: string): void {
    const manager = this.connections.get(address)?.manager;
    this.connections.delete(address);
    if (manager) setTimeout(() => manager.abort(), GIVE_UP_MS).unref();
  }

  /** Closes all connections. */
  close(): void {
    this.connections.forEach(({ manager }) => manager.abort());
    this.connections.clear();
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
