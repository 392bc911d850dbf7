import { readFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { Agent as TlsAgent } from 'node:https';
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

  private readonly ca: Buffer | undefined;

  /**
   * @param context - What every call carries.
   * @param caFile - PEM file of the authority whose certificates peers must have; plain TCP without.
   */
  constructor(
    private readonly context: RpcContext,
    caFile?: string,
  ) {
    this.ca = caFile === undefined ? undefined : readFileSync(caFile);
  }

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
    const options = { keepAlive: true, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MS } as const;
    const agent = this.ca ? new TlsAgent({ ...options, ca: this.ca }) : new Agent(options);
    const transport = createConnectTransport({
      baseUrl: `${this.ca ? 'https' : 'http'}://${address}`,
      httpVersion: '1.1',
      nodeOptions: { agent },
      interceptors: [this.context.clientInterceptor],
    });
    return { agent, transport };
  }
}
