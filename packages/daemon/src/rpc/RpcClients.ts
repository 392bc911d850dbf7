import { Agent } from 'node:http';
import { createClient } from '@connectrpc/connect';
import type { Client, Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { DescService } from '@bufbuild/protobuf';
import type { RpcContext } from './RpcContext.js';

interface Pool {
  agent: Agent;
  transport: Transport;
}

/** Time for which the calls on connections that were given up may still be answered. */
const GIVE_UP_MS = 2000;
/** Idle connections are closed from this side, so that no call meets a closing one. */
const IDLE_TIMEOUT_MS = 20_000;

/**
 * Clients for the other processes: a pool of connections for each address.
 * @remarks Every peer is called several times a second with a timeout each. A call without an
 * answer makes the caller give the pool up, so connections that have gone silent are replaced.
 */
export class RpcClients {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly context: RpcContext) {}

  /** Gets a client of a service at an address. */
  getClient<T extends DescService>(service: T, address: string): Client<T> {
    return createClient(service, this.getPool(address).transport);
  }

  /** Gives up the connections to an address: the next call opens a fresh one. */
  dropConnection(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    if (pool) setTimeout(() => pool.agent.destroy(), GIVE_UP_MS).unref();
  }

  /** Closes all connections. */
  close(): void {
    this.pools.forEach(({ agent }) => agent.destroy());
    this.pools.clear();
  }

  private getPool(address: string): Pool {
    const known = this.pools.get(address);
    if (known) return known;
    const created = this.createPool(address);
    this.pools.set(address, created);
    return created;
  }

  private createPool(address: string): Pool {
    const agent = new Agent({ keepAlive: true, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MS });
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '1.1',
      nodeOptions: { agent },
      interceptors: [this.context.clientInterceptor],
    });
    return { agent, transport };
  }
}
