import { readFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { Agent as TlsAgent } from 'node:https';
import { createClient } from '@connectrpc/connect';
import type { Client, Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { DescService } from '@bufbuild/protobuf';
import type { RpcInterceptors } from './RpcInterceptors.js';

interface ConnectionPool {
  agent: Agent;
  transport: Transport;
}

/** Time that calls on the connections of a dropped pool have to complete. */
const DROPPED_POOL_GRACE_MS = 2000;
/**
 * Idle connections are closed by the client, as `RpcServer` has no keep-alive timeout, so that
 * no call is sent on a connection that the server is closing.
 */
const IDLE_TIMEOUT_MS = 20_000;

/**
 * Creates RPC clients for the other processes, with one connection pool per address.
 * @remarks Every peer is called several times a second, each call with a timeout. Callers drop the
 * pool when a call gets no response, so that connections that have stopped responding are replaced.
 */
export class RpcClients {
  private readonly pools = new Map<string, ConnectionPool>();

  private readonly ca: Buffer | undefined;

  /**
   * @param interceptors - Add the shared secret and the time of the hybrid logical clock to every
   * call.
   * @param caFile - PEM file with the certificate authority of the peers; plain TCP when undefined.
   */
  constructor(
    private readonly interceptors: RpcInterceptors,
    caFile?: string,
  ) {
    this.ca = caFile === undefined ? undefined : readFileSync(caFile);
  }

  /** Gets a client of a service at an address. */
  getClient<T extends DescService>(service: T, address: string): Client<T> {
    return createClient(service, this.getPool(address).transport);
  }

  /** Drops the connections to an address; the next call opens a new one. */
  dropConnections(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    if (pool) setTimeout(() => pool.agent.destroy(), DROPPED_POOL_GRACE_MS).unref();
  }

  /** Closes all connections. */
  close(): void {
    this.pools.forEach(({ agent }) => agent.destroy());
    this.pools.clear();
  }

  private getPool(address: string): ConnectionPool {
    const existing = this.pools.get(address);
    if (existing) return existing;
    const created = this.createPool(address);
    this.pools.set(address, created);
    return created;
  }

  private createPool(address: string): ConnectionPool {
    const options = { keepAlive: true, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MS } as const;
    const agent = this.ca ? new TlsAgent({ ...options, ca: this.ca }) : new Agent(options);
    const transport = createConnectTransport({
      baseUrl: `${this.ca ? 'https' : 'http'}://${address}`,
      httpVersion: '1.1',
      nodeOptions: { agent },
      interceptors: [this.interceptors.clientInterceptor],
    });
    return { agent, transport };
  }
}
